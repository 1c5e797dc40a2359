package reconcile

// ListedMachine is the evidence about a machine in the cloud's list.
type ListedMachine struct {
	Recorded         bool // a provision record names it
	RecordedRecently bool // a provision record named it until recently; the list lags
	TimesListed      int  // number of consecutive lists that had it
	ProvisionPending bool // a provision request is in flight whose machines are not known yet
}

// minTimesListed is the number of consecutive lists that must have an unrecorded machine before it
// is released. The list lags, and a list may be older than the one before it.
const minTimesListed = 2

// ClassifyMachine returns the result for a machine in the cloud's list. A machine without a record
// may belong to a provision request whose answer was lost; that request is repeated under the same
// name.
func ClassifyMachine(m ListedMachine) Result {
	switch {
	case m.Recorded:
		return Result{Adopted, NoAction, MachineRecorded}
	case m.RecordedRecently:
		return Result{Finished, NoAction, MachineRecordedRecently}
	case m.ProvisionPending:
		return Result{Pending, AwaitEvidence, MachineMayBeProvisioned}
	case m.TimesListed < minTimesListed:
		return Result{Pending, AwaitEvidence, MachineListedTooSeldom}
	}
	return Result{Unrecorded, ReleaseMachine, MachineNotRecorded}
}
