package reconcile

// ListedMachine is a machine in the cloud's list, beside what is recorded of it.
type ListedMachine struct {
	Recorded         bool // a Provision names it
	RecordedRecently bool // one did a short while ago: the list lags
	TimesListed      int  // in how many lists in a row it was seen
	ProvisionPending bool // a request is under way whose machines are not known yet
}

// minTimesListed is in how many lists in a row an unrecorded machine must be: the list lags, and
// one may be older than the one before.
const minTimesListed = 2

// ClassifyMachine classifies a machine in the cloud's list. One without a record may belong to a
// request whose answer was lost, which is repeated under the same name.
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
