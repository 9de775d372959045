package zone

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// MaintenanceLimits holds the time limits and bounds of planned maintenance and
// of automatic repair.
type MaintenanceLimits struct {
	// DetectAfter is how long an instance must be unhealthy before it counts as
	// failed. It includes the lag of the platform's list.
	DetectAfter time.Duration
	// MaxListAge is the age of the platform's list above which nothing is
	// planned.
	MaxListAge time.Duration
	// Grace is how long the instances of a rack or data centre that failed
	// together may recover by themselves before they are rebooted or replaced.
	Grace time.Duration
	// DrainTimeout is the time after which an unfinished drain is abandoned.
	DrainTimeout time.Duration
	// BootTimeout and FillTimeout are the times after which an unfinished
	// reboot or fill counts as a failure.
	BootTimeout, FillTimeout time.Duration
	// RetireAfter is the time after which the record of a failed instance that
	// is missing from the list is deleted.
	RetireAfter time.Duration
	// DrainRetryDelay is the time from an abandoned drain to the next planned
	// stop of the instance.
	DrainRetryDelay time.Duration
	// ResendInterval is the time after which a command that the platform has
	// not acknowledged is sent again.
	ResendInterval time.Duration
	// HoldPercent and HoldCount suspend planned disruption while more than
	// HoldPercent of the instances, and at least HoldCount, appear to have
	// failed.
	HoldPercent, HoldCount int
	// RackFailures and CentrePercent define correlated failures: at least that
	// many in one rack, or at least that percentage of one data centre.
	RackFailures, CentrePercent int
	// RepairPercent bounds the percentage of instances in repair at one time;
	// one repair is always allowed.
	RepairPercent int
	// MaxAttempts is the number of consecutive failed repairs after which an
	// instance is no longer repaired.
	MaxAttempts int
	// ExtraMembers is the number of spare instances that a wave adds to a pool
	// whose budgets have no headroom.
	ExtraMembers int
	// NoServicePercent bounds the percentage of a pool without a service that a
	// wave takes out at one time, so that a spare pool stays usable.
	NoServicePercent int
	// StepsPerRound bounds the steps of one plan. The platform accepts several
	// hundred writes a second from all processes together.
	StepsPerRound int
}

// DefaultMaintenanceLimits returns the limits in use. The platform's list lags
// by up to ten seconds; a rack that loses power or its switch usually recovers
// within ten minutes. At the target size, a HoldPercent of 15 is 180 of
// 1,200 instances, which is more than the loss of several racks and less than
// the loss of a data centre.
func DefaultMaintenanceLimits() MaintenanceLimits {
	return MaintenanceLimits{
		DetectAfter:      30 * time.Second,
		MaxListAge:       30 * time.Second,
		Grace:            10 * time.Minute,
		DrainTimeout:     15 * time.Minute,
		BootTimeout:      10 * time.Minute,
		FillTimeout:      5 * time.Minute,
		RetireAfter:      time.Hour,
		DrainRetryDelay:  30 * time.Minute,
		ResendInterval:   10 * time.Second,
		HoldPercent:      15,
		HoldCount:        3,
		RackFailures:     2,
		CentrePercent:    10,
		RepairPercent:    1,
		MaxAttempts:      3,
		ExtraMembers:     4,
		NoServicePercent: 25,
		StepsPerRound:    128,
	}
}

// SentCommand identifies the last command that was sent to an instance.
type SentCommand struct {
	Operation uint64
	At        time.Time
}

// Maintenance is the input of planning: the records of the platform and the
// observations of one planner. The control thread owns it. Plan does not modify
// it.
type Maintenance struct {
	Limits    MaintenanceLimits
	Documents []contract.Document
	// Pools holds the operators' settings of each pool.
	Pools     map[string]contract.PoolOrder
	Instances map[string]machine.Instance
	Budgets   map[string]contract.BudgetRecord
	Waves     map[string]machine.Wave
	Moves     map[string]machine.MoveOrder
	Observed  map[string]machine.Observed
	// ListedAt is when the platform's list was last known to be current.
	ListedAt time.Time
	// Out holds the data centres that operators have taken out of service.
	Out map[string]bool
	// SentCommands holds the last command sent to each instance.
	SentCommands map[string]SentCommand
}

// NewMaintenance returns a Maintenance without records and observations.
func NewMaintenance(l MaintenanceLimits) *Maintenance {
	return &Maintenance{
		Limits:       l,
		Pools:        make(map[string]contract.PoolOrder),
		Instances:    make(map[string]machine.Instance),
		Budgets:      make(map[string]contract.BudgetRecord),
		Waves:        make(map[string]machine.Wave),
		Moves:        make(map[string]machine.MoveOrder),
		Observed:     make(map[string]machine.Observed),
		Out:          make(map[string]bool),
		SentCommands: make(map[string]SentCommand),
	}
}

// Observe merges a list of machines into the observations. If full is set, the
// list is complete and every machine that it lacks is marked as missing.
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
				missing := o
				missing.Missing = true
				m.Observed[id] = o.Next(missing, now)
			}
		}
	}
	m.markMissing(now)
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
	m.markMissing(now)
}

// markMissing marks as missing each instance that has a record but was never
// listed.
func (m *Maintenance) markMissing(now time.Time) {
	if m.ListedAt.IsZero() {
		return
	}
	for id := range m.Instances {
		if _, ok := m.Observed[id]; !ok {
			m.Observed[id] = machine.Observed{}.Next(machine.Observed{ID: id, Missing: true}, now)
		}
	}
}

// StepKind names the effect of a step.
type StepKind string

// Kinds of steps.
const (
	StepBudget StepKind = "budget"
	// StepAdopt creates the record of a machine that has none.
	StepAdopt StepKind = "adopt"
	StepDrain StepKind = "drain"
	StepMove  StepKind = "move"
	// StepSwap changes the pool of a drained instance.
	StepSwap   StepKind = "swap-pool"
	StepReboot StepKind = "reboot"
	StepFill   StepKind = "fill"
	StepServe  StepKind = "serve"
	StepFail   StepKind = "fail"
	// StepCancel cancels a planned stop before its drain.
	StepCancel StepKind = "cancel"
	// StepGiveUp abandons a drain that timed out.
	StepGiveUp StepKind = "give-up"
	// StepRecall cancels a drain that was not observed to begin.
	StepRecall StepKind = "recall"
	// StepReplace reassigns a failed instance to the spare pool.
	StepReplace StepKind = "replace"
	// StepKeep makes an instance on loan a permanent member of its pool.
	StepKeep StepKind = "keep"
	// StepRetire deletes the record of an instance that is missing from the
	// list.
	StepRetire  StepKind = "retire"
	StepCommand StepKind = "command"
	// StepFinish completes the order for a wave or a move.
	StepFinish StepKind = "finish"
)

// Fact is one input of a decision, for the log and for explanations.
type Fact struct{ Name, Value string }

// MaintenanceStep is one effect that a plan asks for. Exactly one of the
// pointers is set, unless the step deletes a record: StepRetire sets none, and
// StepFinish of a move sets Move. A write is a compare-and-swap that expects
// Revision; a command is sent only if the instance record still has Revision.
type MaintenanceStep struct {
	Kind StepKind
	// Subject is the id of an instance, or the name of a service or wave.
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

// MaintenancePlan is the result of Maintenance.Plan.
type MaintenancePlan struct {
	// Steps are in the order in which they must be started: budgets first, by
	// service name.
	Steps    []MaintenanceStep
	Refusals []Refusal
	// Hold is the reason why planned disruption is suspended, empty if it is
	// not.
	Hold string
	// NextDue is the time at which the next step becomes due without new input,
	// zero if there is none.
	NextDue time.Time
}
