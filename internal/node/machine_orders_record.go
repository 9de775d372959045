package node

import "github.com/crocusjunction/crocusjunction/internal/scheduler"

// machineOrdersRecord is the stored form of scheduler.MachineOrdersRead.
type machineOrdersRecord struct {
	Epoch    int      `json:"epoch"`
	Machines []string `json:"machines"`
	// Effects has a row for each of Machines. Earlier versions of the program wrote none.
	Effects []machineEffectRecord `json:"effects,omitempty"`
}

type machineEffectRecord struct {
	Pool   string `json:"p,omitempty"`
	Wave   int64  `json:"w,omitempty"`
	Worker string `json:"i,omitempty"`
}

func newMachineOrdersRecord(a scheduler.StoreMachineOrders) machineOrdersRecord {
	r := machineOrdersRecord{Epoch: a.Epoch, Machines: make([]string, 0, len(a.Orders))}
	for _, o := range a.Orders {
		r.Machines = append(r.Machines, o.Machine)
		r.Effects = append(r.Effects, machineEffectRecord{o.Pool, o.Wave, o.Worker})
	}
	return r
}

func (r machineOrdersRecord) orders() []scheduler.MachineOrder {
	list := make([]scheduler.MachineOrder, len(r.Machines))
	for i, name := range r.Machines {
		list[i].Machine = name
		if i < len(r.Effects) {
			e := r.Effects[i]
			list[i].Pool, list[i].Wave, list[i].Worker = e.Pool, e.Wave, e.Worker
		}
	}
	return list
}
