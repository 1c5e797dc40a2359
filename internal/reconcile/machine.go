package reconcile

// ListedMachine is what is known of a machine that the cloud lists or the records name.
type ListedMachine struct {
	Recorded         bool // a rental's record names it
	RecordedRecently bool // one did a short while ago: the list lags
	TimesListed      int  // in how many lists in a row it was seen
	ProvisionPending bool // a rental is under way whose machines are not known yet
}

// minTimesListed is in how many lists an unrecorded machine must appear: the list lags, and
// one may be older than the one before.
const minTimesListed = 2

// ClassifyMachine gives the verdict on a machine in the cloud's list. One without a record may
// belong to a rental whose answer was lost, which is asked for again by the same name.
func ClassifyMachine(e ListedMachine) Result {
	switch {
	case e.Recorded:
		return Result{Adopted, NoAction}
	case e.RecordedRecently:
		return Result{Finished, NoAction}
	case e.ProvisionPending, e.TimesListed < minTimesListed:
		return Result{Pending, AwaitEvidence}
	}
	return Result{Unrecorded, ReleaseMachine}
}
