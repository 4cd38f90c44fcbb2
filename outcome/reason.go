package outcome

import (
	"net/http"
	"time"
)

// Reason is why a call had its outcome. The set is closed: Reasons lists all of them, each
// has a counter, and docs/OPERATING.md says what to do about it.
type Reason string

// Reasons of answered calls.
const (
	// ReasonOK means that a target responded to this request.
	ReasonOK Reason = "ok"
	// ReasonStored means that the response was stored for an earlier request with the same key.
	ReasonStored Reason = "stored-answer"
)

// Reasons for refusing a call before a target is chosen.
const (
	ReasonNoRoute Reason = "no-route"
	// ReasonConfigUnconfirmed means that the local configuration does not allow the call, and
	// this host can not tell whether that configuration is the latest.
	ReasonConfigUnconfirmed Reason = "config-unconfirmed"
	// ReasonReplicaOutdated means that this host's copy of the platform's state may be out of date,
	// and that it could not bring it up to date at once.
	ReasonReplicaOutdated Reason = "replica-outdated"
	ReasonBadRequest      Reason = "bad-request"
	// ReasonUnknownKey means that the call does not have the API key of a tenant.
	ReasonUnknownKey Reason = "unknown-api-key"
	// ReasonOverQuota means that the call exceeds its tenant's quota.
	ReasonOverQuota Reason = "over-quota"
	// ReasonQuotaUnknown means that no host can tell whether the call is within the quota.
	ReasonQuotaUnknown   Reason = "quota-unknown"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonNotReady       Reason = "not-ready"
	ReasonWorkspaceLimit Reason = "workspace-limit"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline-too-short"
	ReasonQueueTimeout   Reason = "queue-timeout"
	ReasonTooDeep        Reason = "too-deep"
	// ReasonNotInTurn means that the call was started before earlier ones of its connection were
	// answered, and that its route doesn't allow that.
	ReasonNotInTurn Reason = "not-in-turn"
	// ReasonUploadMemory means that this host has no memory for another body that is sent on as it
	// arrives.
	ReasonUploadMemory Reason = "upload-memory"
	ReasonQuarantined  Reason = "quarantined"
	ReasonCallerGone   Reason = "caller-gone"
)

// Reasons concerning targets.
const (
	ReasonNoTarget Reason = "no-target"
	// ReasonEvacuated means that all targets of the service are in evacuated zones.
	ReasonEvacuated Reason = "evacuated"
	ReasonShed      Reason = "shed"
	ReasonConnect   Reason = "connect-failed"
	ReasonConnLimit Reason = "connection-limit"
	// ReasonTargetLeft means that the target left while a connection to it was being opened, or that
	// this took so long that the target may have turned cold.
	ReasonTargetLeft Reason = "target-left"
	// ReasonPathLost means that the path to the target failed after the call was sent.
	ReasonPathLost      Reason = "path-lost"
	ReasonBrokeOff      Reason = "target-broke-off"
	ReasonTargetTimeout Reason = "target-timeout"
	// ReasonForeignAnswer means that the response does not belong to the request, or that no
	// target authenticated it.
	ReasonForeignAnswer Reason = "foreign-answer"
	// ReasonReplaced means that another target now has the address and refused the call.
	ReasonReplaced Reason = "target-replaced"
	// ReasonTargetLimit means that all targets of the service have reached the limits that they
	// announced.
	ReasonTargetLimit Reason = "target-limit"
	// ReasonTargetRest means that all targets of the service asked this host to pause.
	ReasonTargetRest Reason = "target-rest"
	// ReasonOverload means that the call could not have been answered before its deadline.
	ReasonOverload Reason = "overload"
)

// Reasons concerning at-most-once calls.
const (
	ReasonKeyRequired      Reason = "key-required"
	ReasonKeyMalformed     Reason = "key-malformed"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonNoKeys           Reason = "no-cluster-key"
	ReasonKeyMismatch      Reason = "key-mismatch"
	ReasonKeyInProgress    Reason = "key-in-progress"
	ReasonKeyUndecided     Reason = "key-undecided"
	ReasonKeyGivenUp       Reason = "key-given-up"
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonClaimUnknown     Reason = "claim-unknown"
	ReasonIssuerGone       Reason = "issuer-gone"
	ReasonAnswerNotKept    Reason = "answer-not-kept"
)

// info holds the properties of a reason.
type info struct {
	status     int
	retryAfter time.Duration
}

// Default times after which a refused caller may retry.
const (
	// retryImmediately is for refusals by one target or host: another may accept the call at
	// once. With a whole second, callers close to their deadline gave up.
	retryImmediately = 20 * time.Millisecond
	// retrySoon is for a lack of capacity; it is about the time in which calls in flight finish.
	retrySoon = 200 * time.Millisecond
	// retryAfterOperator is for conditions that last until an operator ends them.
	retryAfterOperator = time.Second
	retryLater         = 5 * time.Second
)

var infos = map[Reason]info{
	ReasonOK:     {status: http.StatusOK},
	ReasonStored: {status: http.StatusOK},

	ReasonNoRoute: {status: http.StatusNotFound},
	// A host that is behind catches up in about this time: it waits briefly for the change and
	// then asks for it.
	ReasonConfigUnconfirmed: {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonReplicaOutdated:   {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonBadRequest:        {status: http.StatusBadRequest},
	ReasonUnknownKey:        {status: http.StatusUnauthorized},
	ReasonOverQuota:         {status: http.StatusTooManyRequests, retryAfter: retrySoon},
	ReasonQuotaUnknown:      {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonBodyTooLarge:      {status: http.StatusRequestEntityTooLarge},
	ReasonNotReady:          {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonWorkspaceLimit:    {status: http.StatusTooManyRequests, retryAfter: retrySoon},
	ReasonQueueFull:         {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonDeadline:          {status: http.StatusGatewayTimeout},
	ReasonQueueTimeout:      {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonNotInTurn:         {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonUploadMemory:      {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonTooDeep:           {status: http.StatusLoopDetected},
	ReasonQuarantined:       {status: http.StatusServiceUnavailable, retryAfter: retryLater},
	ReasonCallerGone:        {status: http.StatusServiceUnavailable},

	ReasonNoTarget:      {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonEvacuated:     {status: http.StatusServiceUnavailable, retryAfter: retryAfterOperator},
	ReasonShed:          {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonConnect:       {status: http.StatusBadGateway, retryAfter: retryImmediately},
	ReasonConnLimit:     {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonTargetLeft:    {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonBrokeOff:      {status: http.StatusBadGateway},
	ReasonPathLost:      {status: http.StatusBadGateway},
	ReasonTargetTimeout: {status: http.StatusGatewayTimeout},
	ReasonForeignAnswer: {status: http.StatusBadGateway},
	ReasonReplaced:      {status: http.StatusServiceUnavailable, retryAfter: retryImmediately},
	ReasonTargetLimit:   {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonTargetRest:    {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonOverload:      {status: http.StatusServiceUnavailable, retryAfter: retrySoon},

	ReasonKeyRequired:      {status: http.StatusBadRequest},
	ReasonKeyMalformed:     {status: http.StatusBadRequest},
	ReasonKeyExpired:       {status: http.StatusGone},
	ReasonNoKeys:           {status: http.StatusNotImplemented},
	ReasonKeyMismatch:      {status: http.StatusUnprocessableEntity},
	ReasonKeyInProgress:    {status: http.StatusConflict, retryAfter: retrySoon},
	ReasonKeyUndecided:     {status: http.StatusConflict, retryAfter: retryLater},
	ReasonKeyGivenUp:       {status: http.StatusServiceUnavailable, retryAfter: retrySoon},
	ReasonStoreUnavailable: {status: http.StatusServiceUnavailable, retryAfter: retryLater},
	ReasonClaimUnknown:     {status: http.StatusServiceUnavailable, retryAfter: retryLater},
	ReasonIssuerGone:       {status: http.StatusGone},
	ReasonAnswerNotKept:    {status: http.StatusConflict},
}

func (r Reason) info() info { return infos[r] }

// Valid reports whether r belongs to the closed set.
func (r Reason) Valid() bool {
	_, ok := infos[r]
	return ok
}

// Reasons returns the closed set, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(infos))
	for r := range infos {
		all = append(all, r)
	}
	return all
}
