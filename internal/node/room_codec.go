package node

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// roomsRecord is the stored form of scheduler.RoomsRead. It is CBOR with numbered fields,
// because every node reads it twice a second while there is too much work.
type roomsRecord struct {
	Fence    int64                 `cbor:"1,keyasint"`
	AsOf     int64                 `cbor:"2,keyasint"`
	Services map[string]roomRecord `cbor:"3,keyasint,omitempty"`
}

// roomRecord is the stored form of admission.Room. Work is in thousandths of a
// core-second.
type roomRecord struct {
	Up       int64           `cbor:"1,keyasint"`
	InUse    int64           `cbor:"2,keyasint"`
	MeanWork int64           `cbor:"3,keyasint"`
	Arrivals []arrivalRecord `cbor:"4,keyasint,omitempty"`
	Loads    []loadRecord    `cbor:"5,keyasint,omitempty"`
}

type arrivalRecord struct {
	_          struct{} `cbor:",toarray"`
	MilliCores int64
	InMillis   int64
}

type loadRecord struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	Priority     int
	Rate         int64
	Begun        int64
	Timely, Late int64
}

// workUnits is the number of units of stored work in a core-second.
const workUnits = 1000

func newRoomsRecord(a scheduler.StoreRooms) roomsRecord {
	record := roomsRecord{Fence: a.Fence, AsOf: a.AsOf, Services: make(map[string]roomRecord, len(a.Rooms))}
	for service, room := range a.Rooms {
		r := roomRecord{Up: room.Up, InUse: room.InUse, MeanWork: storedWork(room.MeanWork)}
		for _, arrival := range room.Arrivals {
			r.Arrivals = append(r.Arrivals, arrivalRecord{MilliCores: arrival.MilliCores, InMillis: arrival.In.Milliseconds()})
		}
		for _, l := range room.Loads {
			r.Loads = append(r.Loads, loadRecord{Team: l.Team, Priority: l.Priority, Rate: l.Rate, Begun: storedWork(l.Begun), Timely: storedWork(l.Timely), Late: storedWork(l.Late)})
		}
		record.Services[service] = r
	}
	return record
}

func storedWork(coreSeconds float64) int64 { return int64(math.Round(coreSeconds * workUnits)) }

// decodeRooms decodes the rooms of services. A removed record has none.
func decodeRooms(item platform.Item) (scheduler.Change, error) {
	read := scheduler.RoomsRead{Revision: item.Revision}
	if item.Removed {
		return read, nil
	}
	var record roomsRecord
	if err := cbor.Unmarshal(item.Value, &record); err != nil {
		return nil, err
	}
	read.Fence, read.AsOf, read.Rooms = record.Fence, record.AsOf, make(map[string]admission.Room, len(record.Services))
	for service, r := range record.Services {
		room, ok := r.room()
		if !ok {
			return nil, errors.Errorf("service %s: numbers out of range or order", service)
		}
		read.Rooms[service] = room
	}
	return read, nil
}

// room returns the room, and false if it is of no use for decisions.
func (r roomRecord) room() (admission.Room, bool) {
	room := admission.Room{Supply: admission.Supply{Up: r.Up}, InUse: r.InUse, MeanWork: float64(r.MeanWork) / workUnits}
	ok := r.Up >= 0 && r.MeanWork >= 0
	for _, a := range r.Arrivals {
		ok = ok && a.MilliCores >= 0 && a.InMillis >= 0 && a.InMillis <= time.Hour.Milliseconds()
		room.Arrivals = append(room.Arrivals, admission.Arrival{MilliCores: a.MilliCores, In: time.Duration(a.InMillis) * time.Millisecond})
	}
	for _, l := range r.Loads {
		ok = ok && l.Rate >= 0 && l.Begun >= 0 && l.Timely >= 0 && l.Late >= 0
		room.Loads = append(room.Loads, admission.Load{Team: l.Team, Priority: l.Priority, Rate: l.Rate, Begun: float64(l.Begun) / workUnits, Timely: float64(l.Timely) / workUnits, Late: float64(l.Late) / workUnits})
	}
	return room, ok && room.Ordered()
}
