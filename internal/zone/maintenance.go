package zone

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// MaintenanceLimits are the times and bounds of maintenance and self-repair.
type MaintenanceLimits struct {
	// DetectAfter is how long an instance must look bad before it counts as
	// failed. It includes the lag of the platform's list.
	DetectAfter time.Duration
	// ListSilence is how old the list may be before planned stops are held.
	ListSilence time.Duration
	// Grace is how long instances of a rack or data centre that failed together
	// get to come back before they are rebooted or replaced.
	Grace time.Duration
	// DrainTimeout is when a drain is given up.
	DrainTimeout time.Duration
	// BootTimeout and FillTimeout are when a reboot or fill counts as failed.
	BootTimeout, FillTimeout time.Duration
	// RetireAfter is when the record of a failed instance that the list no
	// longer has is deleted.
	RetireAfter time.Duration
	// GiveUpPause is when a move whose drain was given up is tried again.
	GiveUpPause time.Duration
	// Resend is when a command whose effect is not seen is sent again.
	Resend time.Duration
	// HoldPercent and HoldCount stop planned disruption when more than
	// HoldPercent of the instances, and at least HoldCount, look failed.
	HoldPercent, HoldCount int
	// RackFailures and CentrePercent say when failures count as correlated: that
	// many in one rack, or that part of one data centre.
	RackFailures, CentrePercent int
	// RepairPercent bounds the repairs at one time; at least one is allowed.
	RepairPercent int
	// MaxAttempts is the number of repairs in a row before an instance is given
	// up.
	MaxAttempts int
	// Borrow is the number of spares that a wave adds to a pool whose budget has
	// no headroom.
	Borrow int
	// OpenPercent bounds the part of a pool without a service that a wave takes
	// out, so that a spare pool stays usable.
	OpenPercent int
	// StepsPerRound bounds the steps of one plan. The platform takes several
	// hundred writes a second from all processes together.
	StepsPerRound int
}

// DefaultMaintenanceLimits returns the limits in use. The list lags by up to
// ten seconds; a rack that loses power or its switch is usually back within ten
// minutes. At the target size, 15% is 180 of 1,200 instances, which is more
// than the loss of several racks and less than the loss of a data centre.
func DefaultMaintenanceLimits() MaintenanceLimits {
	return MaintenanceLimits{
		DetectAfter:   30 * time.Second,
		ListSilence:   30 * time.Second,
		Grace:         10 * time.Minute,
		DrainTimeout:  15 * time.Minute,
		BootTimeout:   10 * time.Minute,
		FillTimeout:   5 * time.Minute,
		RetireAfter:   time.Hour,
		GiveUpPause:   30 * time.Minute,
		Resend:        10 * time.Second,
		HoldPercent:   15,
		HoldCount:     3,
		RackFailures:  2,
		CentrePercent: 10,
		RepairPercent: 1,
		MaxAttempts:   3,
		Borrow:        4,
		OpenPercent:   25,
		StepsPerRound: 128,
	}
}

// Sent is the last command sent to an instance.
type Sent struct {
	Operation uint64
	At        time.Time
}

// Maintenance is everything that a plan is derived from: the records of the
// platform and the observations of one planner. It is owned by the control
// thread. Plan does not change it.
type Maintenance struct {
	Limits    MaintenanceLimits
	Documents []contract.Document
	// Pools holds the operators' orders for pools.
	Pools     map[string]contract.PoolOrder
	Instances map[string]machine.Instance
	Budgets   map[string]contract.BudgetRecord
	Waves     map[string]machine.Wave
	Moves     map[string]machine.MoveOrder
	Observed  map[string]machine.Observed
	// ListedAt is when the list was last known to be current.
	ListedAt time.Time
	// Out holds the data centres that operators took out.
	Out map[string]bool
	// Sent holds the last command to each instance.
	Sent map[string]Sent
}

// NewMaintenance returns a view without records.
func NewMaintenance(l MaintenanceLimits) *Maintenance {
	return &Maintenance{
		Limits:    l,
		Pools:     make(map[string]contract.PoolOrder),
		Instances: make(map[string]machine.Instance),
		Budgets:   make(map[string]contract.BudgetRecord),
		Waves:     make(map[string]machine.Wave),
		Moves:     make(map[string]machine.MoveOrder),
		Observed:  make(map[string]machine.Observed),
		Out:       make(map[string]bool),
		Sent:      make(map[string]Sent),
	}
}

// Observe takes a list of machines. A full list marks all others as missing.
func (m *Maintenance) Observe(list []machine.Observed, full bool, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.ID] = true
		m.Observed[o.ID] = m.Observed[o.ID].Next(o, now)
	}
	m.ListedAt = now
	if full {
		for id, o := range m.Observed {
			if !listed[id] {
				gone := o
				gone.Missing = true
				m.Observed[id] = o.Next(gone, now)
			}
		}
	}
	m.miss(now)
}

// SetRecords replaces the records of instances and budgets.
func (m *Maintenance) SetRecords(instances []machine.Instance, budgets []contract.BudgetRecord, now time.Time) {
	clear(m.Instances)
	for _, i := range instances {
		m.Instances[i.ID] = i
	}
	clear(m.Budgets)
	for _, b := range budgets {
		m.Budgets[b.Service] = b
	}
	m.miss(now)
}

// miss notes the instances that have a record and are not in the list.
func (m *Maintenance) miss(now time.Time) {
	if m.ListedAt.IsZero() {
		return
	}
	for id := range m.Instances {
		if _, ok := m.Observed[id]; !ok {
			m.Observed[id] = machine.Observed{}.Next(machine.Observed{ID: id, Missing: true}, now)
		}
	}
}

// StepKind names what a step does.
type StepKind string

// Kinds of steps.
const (
	StepBudget  StepKind = "budget"
	StepAdopt   StepKind = "adopt"
	StepDrain   StepKind = "drain"
	StepMove    StepKind = "move"
	StepSwap    StepKind = "swap-pool"
	StepReboot  StepKind = "reboot"
	StepFill    StepKind = "fill"
	StepServe   StepKind = "serve"
	StepFail    StepKind = "fail"
	StepCancel  StepKind = "cancel"
	StepGiveUp  StepKind = "give-up"
	StepRecall  StepKind = "recall"
	StepReplace StepKind = "replace"
	StepKeep    StepKind = "keep"
	StepRetire  StepKind = "retire"
	StepCommand StepKind = "command"
	StepFinish  StepKind = "finish"
)

// Fact is one input of a step.
type Fact struct{ Name, Value string }

// Step is one effect that a plan asks for. Exactly one of the pointers is set,
// unless the record is to be deleted (StepRetire and the StepFinish of a move).
// A write is a compare-and-swap that expects Revision; a command is sent only
// when the instance record still has Revision.
type Step struct {
	Kind StepKind
	// Subject is the id of an instance, the name of a service or of a wave.
	Subject  string
	Revision uint64
	Instance *machine.Instance
	Budget   *contract.BudgetRecord
	Wave     *machine.Wave
	Move     *machine.MoveOrder
	Command  *machine.Command
	Reason   string
	Facts    []Fact
}

// Refusal is a planned stop that a budget or another bound forbids.
type Refusal struct {
	Instance string
	Reason   string
	Facts    []Fact
}

// Plan is the result of planning.
type Plan struct {
	// Steps are in the order in which they are to be started: budgets by service
	// name first.
	Steps    []Step
	Refusals []Refusal
	// Hold says why planned disruption is stopped; empty while it is not.
	Hold string
	// Wake is when time alone makes the next step due; zero means never.
	Wake time.Time
}
