package reconcile

// MachineEvidence is what is known of a machine that the cloud lists or the records name.
type MachineEvidence struct {
	Recorded bool // a rental's record names it
	Lately   bool // one did a short while ago: the list lags
	Listed   int  // in how many lists in a row it was seen
	Renting  bool // a rental is under way whose machines are not known yet
}

// listsToBelieve is in how many lists an unrecorded machine must appear: the list lags, and
// one may be older than the one before.
const listsToBelieve = 2

// Machine gives the verdict on a machine in the cloud's list. One without a record may
// belong to a rental whose answer was lost, which is asked for again by the same name.
func Machine(e MachineEvidence) Finding {
	switch {
	case e.Recorded:
		return Finding{Adopted, Keep}
	case e.Lately:
		return Finding{Finished, Keep}
	case e.Renting, e.Listed < listsToBelieve:
		return Finding{Awaited, Wait}
	}
	return Finding{Unknown, GiveBack}
}
