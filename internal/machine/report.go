package machine

// ReportState is the state of a task as its worker reports it.
type ReportState string

// States of a reported task.
const (
	ReportRunning      ReportState = "running"
	ReportDone         ReportState = "done"
	ReportFailed       ReportState = "failed"
	ReportCheckpointed ReportState = "checkpointed"
	// ReportStopped means that the task was stopped or that its lease expired.
	ReportStopped ReportState = "stopped"
)

// WorkerReport is the platform's report of a worker, which lags.
type WorkerReport struct {
	ID, Rack string
	Capacity Resources
	// Sequence grows with every start and end of a task on the worker.
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
