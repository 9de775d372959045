package machine

// ReportState is the state of a task at its worker.
type ReportState string

// States of a reported task.
const (
	ReportRunning      ReportState = "running"
	ReportDone         ReportState = "done"
	ReportFailed       ReportState = "failed"
	ReportCheckpointed ReportState = "checkpointed"
	// ReportStopped covers a stop and a lapsed lease.
	ReportStopped ReportState = "stopped"
)

// WorkerReport is what the platform reports of a worker, with a lag.
type WorkerReport struct {
	ID, Rack string
	Capacity Resources
	// Sequence grows with every start and end of a task at the worker.
	Sequence uint64
	Gone     bool
	Tasks    []TaskReport
}

// TaskReport is one task in a report.
type TaskReport struct {
	StartID    string
	State      ReportState
	Used       Resources
	Checkpoint string
	Reason     string
}
