package quarantine

import (
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between hosts.
const (
	// kindRecords carries the sender's records of some requests.
	kindRecords = peer.KindQuarantine + iota
	// kindCleared announces that requests are innocent.
	kindCleared
	// kindAcquireTrial asks an arbiter for permission to run a trial of a suspect.
	kindAcquireTrial
	// kindEndTrial returns that permission.
	kindEndTrial
	// kindTargetLost announces that a target became unreachable.
	kindTargetLost
	// kindTargetsAlive announces that targets did not crash.
	kindTargetsAlive
	// kindHeld asks for the requests that a host has quarantined.
	kindHeld
	// kindAnswered announces requests of a tracked group that were answered.
	kindAnswered
)

// recordsMsg is the body of kindRecords.
type recordsMsg struct {
	Records []suspicion.Record `msgpack:"r"`
}

// clearedMsg is the body of kindCleared.
type clearedMsg struct {
	Digests []suspicion.Digest `msgpack:"d"`
}

// answeredMsg is the body of kindAnswered.
type answeredMsg struct {
	Requests []suspicion.ID `msgpack:"r"`
}

// targetLostMsg is the body of kindTargetLost.
type targetLostMsg struct {
	Target ports.RunID `msgpack:"t"`
}

// targetsAliveMsg is the body of kindTargetsAlive.
type targetsAliveMsg struct {
	Proofs []suspicion.ProofRecord `msgpack:"p"`
}

// acquireReq is the body of kindAcquireTrial. It carries the sender's record of the request,
// so that an arbiter that missed the earlier notifications decides on the same evidence.
type acquireReq struct {
	Record suspicion.Record `msgpack:"r"`
	// Holder identifies this trial, see newTrial.
	Holder string `msgpack:"h"`
}

// acquireResp is the response to kindAcquireTrial. Record is set if the request is
// quarantined.
type acquireResp struct {
	Answer suspicion.Admission `msgpack:"a"`
	Record suspicion.Record    `msgpack:"r"`
}

// endTrialMsg is the body of kindEndTrial. It carries the record as of the end of the
// trial, so that the next trial is not granted on outdated evidence.
type endTrialMsg struct {
	Digest suspicion.Digest   `msgpack:"d"`
	Holder string             `msgpack:"h"`
	Record []suspicion.Record `msgpack:"r"`
}
