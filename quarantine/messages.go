package quarantine

import (
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of the messages between hosts.
const (
	// kindRecords tells what a host holds of some requests.
	kindRecords = peer.KindQuarantine + iota
	// kindCleared tells that requests are innocent.
	kindCleared
	// kindAsk asks the keeper of a request's trials for permission to run it.
	kindAsk
	// kindEndTrial gives the permission back.
	kindEndTrial
	// kindLost tells that a target can not be reached any more.
	kindLost
)

// recordsMsg is the body of kindRecords.
type recordsMsg struct {
	Records []suspicion.Record `msgpack:"r"`
}

// clearedMsg is the body of kindCleared.
type clearedMsg struct {
	Digests []suspicion.Digest `msgpack:"d"`
}

// lostMsg is the body of kindLost.
type lostMsg struct {
	Target ports.RunID `msgpack:"t"`
}

// askReq is the body of kindAsk. It carries what the asking host holds of the
// request, so that a keeper that has heard nothing learns it first.
type askReq struct {
	Record suspicion.Record `msgpack:"r"`
	// Holder names this one trial.
	Holder string `msgpack:"h"`
}

// askResp answers kindAsk; Record is set if the request is quarantined.
type askResp struct {
	Answer suspicion.Admission `msgpack:"a"`
	Record suspicion.Record    `msgpack:"r"`
}

// endTrialMsg is the body of kindEndTrial. It carries what the trial has shown,
// so that the next trial is not begun on older knowledge.
type endTrialMsg struct {
	Digest suspicion.Digest   `msgpack:"d"`
	Holder string             `msgpack:"h"`
	Record []suspicion.Record `msgpack:"r"`
}
