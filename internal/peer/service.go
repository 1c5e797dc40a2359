package peer

import (
	"errors"

	"bramblespur/internal/wire"
)

// Handler carries out the calls of peers. Its methods are called concurrently.
type Handler interface {
	// Check returns an error for invalid arguments. No other method is called with them.
	Check(args any) error
	// Malformed is told of a call that could not be read, and of a refused connection.
	Malformed(from string, err error)
	Sync(SyncArgs) SyncReply
	ReceiveJobRecord(NotifyArgs)
	Report(wire.Heartbeat) HeartbeatReply
	Status(ref string) (wire.Status, bool)
	User(UserArgs) UserReply
	Ping() bool
	Format() int
	Lend(LoanArgs) bool
	Evidence(EvidenceArgs) EvidenceReply
}

// Service exposes a Handler over net/rpc under serviceName. Its method names are part of the
// protocol; those that came later say so, as a peer of the first version answers them with an
// error.
type Service struct{ handler Handler }

// Sync serves Handler.Sync.
func (s *Service) Sync(a SyncArgs, r *SyncReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Sync(a)
	return nil
}

// Nudge serves Handler.ReceiveJobRecord under the name that other versions call.
func (s *Service) Nudge(a NotifyArgs, _ *struct{}) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	s.handler.ReceiveJobRecord(a)
	return nil
}

// Report serves Handler.Report.
func (s *Service) Report(a wire.Heartbeat, r *HeartbeatReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Report(a)
	return nil
}

// User serves Handler.User.
func (s *Service) User(a UserArgs, r *UserReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.User(a)
	return nil
}

// Ping serves Handler.Ping: whether this controller reaches the state service.
func (s *Service) Ping(_ string, r *bool) error {
	*r = s.handler.Ping()
	return nil
}

// Format serves Handler.Format: the format of records that this controller writes.
//
// Upgrade: the first version has no such method.
func (s *Service) Format(_ string, r *int) error {
	*r = s.handler.Format()
	return nil
}

// Lend serves Handler.Lend: whether the sender may make the writes that it asks for.
//
// Upgrade: the first version has no such method; its leader lends nothing.
func (s *Service) Lend(a LoanArgs, r *bool) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Lend(a)
	return nil
}

// Evidence serves Handler.Evidence, for operators' tools.
//
// Upgrade: the first version has no such method, and no safe mode.
func (s *Service) Evidence(a EvidenceArgs, r *EvidenceReply) error {
	*r = s.handler.Evidence(a)
	return nil
}

// ErrJobNotHeld says that a controller does not own a job's shard.
var ErrJobNotHeld = errors.New("peer: job not held here")

// Status serves Handler.Status.
func (s *Service) Status(ref string, r *wire.Status) error {
	st, ok := s.handler.Status(ref)
	if !ok {
		return ErrJobNotHeld
	}
	*r = st
	return nil
}
