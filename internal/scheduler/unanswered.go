package scheduler

import "time"

// Unanswered returns the result of an action that failed unexpectedly after sentAt: it
// may have taken effect, or may still do so. It is nil for an action without a result.
func Unanswered(a Action, sentAt time.Time) Event {
	switch a := a.(type) {
	case AcquireLease:
		return LeaseRefused{Reason: "unexpected failure"}
	case RenewLease:
		return LeaseRenewed{Lease: a.Lease, Outcome: RenewUnknown, SentAt: sentAt}
	case PollWorker:
		return WorkerAnswered{Worker: a.Target.ID, Fence: a.Request.Fence, Outcome: PollUnanswered, SentAt: sentAt}
	case StartTask:
		return StartAnswered{Worker: a.Target.ID, Run: RunKeyOf(a), Fence: a.Order.Fence, Outcome: StartUnknown}
	case StopRun:
		return StopAnswered{Worker: a.Target.ID, Run: a.Run, Fence: a.Fence}
	case ReadProgress:
		return ProgressListed{Fence: a.Fence}
	case StorePending:
		return PendingStored{Fence: a.Fence, Result: RecordResult{Outcome: StoreFailed}}
	case StoreRooms:
		return RoomsStored{Fence: a.Fence, Result: RecordResult{Outcome: StoreFailed}}
	case StoreUse:
		return UseStored{Fence: a.Fence, Result: RecordResult{Outcome: StoreFailed}}
	case StoreTurns:
		return TurnsStored{Fence: a.Fence, Result: RecordResult{Outcome: StoreFailed}}
	case StoreProgress:
		return ProgressStored{Fence: a.Fence, Writes: a.Writes, Outcome: StoreFailed}
	case StoreMachineOrders:
		return MachineOrdersStored{Fence: a.Fence, Orders: a.Orders, Result: RecordResult{Outcome: StoreFailed}}
	case StoreRoster:
		return RosterStored{Fence: a.Fence, Members: a.Members, Result: RecordResult{Outcome: StoreFailed}}
	case StoreSilences:
		return SilencesStored{Fence: a.Fence, Left: a.Left, Result: RecordResult{Outcome: StoreFailed}}
	case ListMachines:
		return MachinesListed{SentAt: sentAt}
	case OrderUpkeep:
		return UpkeepAnswered{Machine: a.Machine, Wave: a.Wave, Fence: a.Fence, Outcome: MachineOpUnknown}
	case OrderMove:
		return MoveAnswered{Machine: a.Machine, Pool: a.Pool, Fence: a.Fence, Outcome: MachineOpUnknown}
	case PublishWave:
		return WavePublished{Wave: a.Wave, Fence: a.Fence, Completed: a.Completed, Begun: len(a.Begun), Result: RecordResult{Outcome: StoreFailed}}
	case RequestAdvice:
		return AdviceAnswered{Step: a.Step, Workers: a.Workers, Fence: a.Fence, SentAt: sentAt, ServiceTime: a.ServiceTime}
	}
	return nil
}
