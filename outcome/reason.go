package outcome

import (
	"net/http"
	"time"
)

// Reason says why a call had its outcome. The set is closed: Reasons lists all
// of them, each has a counter, and docs/OPERATING.md says what to do about it.
type Reason string

// Reasons of answered calls.
const (
	// ReasonOK is an answer that a target gave to this call.
	ReasonOK Reason = "ok"
	// ReasonStored is an answer kept from an earlier send of the same key.
	ReasonStored Reason = "stored-answer"
)

// Reasons that refuse a call before any target is chosen.
const (
	ReasonNoRoute Reason = "no-route"
	// ReasonConfigUnconfirmed is a call that the configuration at hand does not allow, at a
	// host that can not tell whether that is the newest.
	ReasonConfigUnconfirmed Reason = "config-unconfirmed"
	ReasonBadRequest        Reason = "bad-request"
	// ReasonUnknownKey is a call without the API key of a tenant.
	ReasonUnknownKey Reason = "unknown-api-key"
	// ReasonOverQuota is a call beyond its tenant's quota.
	ReasonOverQuota Reason = "over-quota"
	// ReasonQuotaUnknown is a call of which no host can tell whether it is within the quota.
	ReasonQuotaUnknown   Reason = "quota-unknown"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonNotReady       Reason = "not-ready"
	ReasonWorkspaceLimit Reason = "workspace-limit"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline-too-short"
	ReasonQueueTimeout   Reason = "queue-timeout"
	ReasonTooDeep        Reason = "too-deep"
	ReasonQuarantined    Reason = "quarantined"
	ReasonCallerGone     Reason = "caller-gone"
)

// Reasons about targets.
const (
	ReasonNoTarget Reason = "no-target"
	// ReasonEvacuated is a call whose service has targets in evacuated zones alone.
	ReasonEvacuated     Reason = "evacuated"
	ReasonShed          Reason = "shed"
	ReasonConnect       Reason = "connect-failed"
	ReasonConnLimit     Reason = "connection-limit"
	ReasonBrokeOff      Reason = "target-broke-off"
	ReasonTargetTimeout Reason = "target-timeout"
	// ReasonForeignAnswer is an answer that does not belong to the request, or that
	// no target vouches for.
	ReasonForeignAnswer Reason = "foreign-answer"
	// ReasonReplaced is a refusal by another target that has the address.
	ReasonReplaced Reason = "target-replaced"
	// ReasonTargetLimit is a call whose service has targets alone that have used up the limits
	// that they name.
	ReasonTargetLimit Reason = "target-limit"
	// ReasonTargetRest is a call whose service has targets alone that asked this host for rest.
	ReasonTargetRest Reason = "target-rest"
	// ReasonOverload is a call that could not have been answered in time.
	ReasonOverload Reason = "overload"
)

// Reasons about at-most-once calls.
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

// info is what belongs to a reason besides its name.
type info struct {
	status     int
	retryAfter time.Duration
}

// Usual times after which a refused caller may try again.
const (
	// elsewhere is for what one target or host could not take: another may, at
	// once. With a second in its place, callers whose deadline is near gave up.
	elsewhere = 20 * time.Millisecond
	// soon is for want of room, about the time in which calls in flight end.
	soon = 200 * time.Millisecond
	// untilTakenBack is for what lasts until an operator ends it.
	untilTakenBack = time.Second
	later          = 5 * time.Second
)

var infos = map[Reason]info{
	ReasonOK:     {status: http.StatusOK},
	ReasonStored: {status: http.StatusOK},

	ReasonNoRoute: {status: http.StatusNotFound},
	// A host that is behind catches up in about this time: it waits for the change for a
	// moment and then asks for it.
	ReasonConfigUnconfirmed: {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonBadRequest:        {status: http.StatusBadRequest},
	ReasonUnknownKey:        {status: http.StatusUnauthorized},
	ReasonOverQuota:         {status: http.StatusTooManyRequests, retryAfter: soon},
	ReasonQuotaUnknown:      {status: http.StatusServiceUnavailable, retryAfter: elsewhere},
	ReasonBodyTooLarge:      {status: http.StatusRequestEntityTooLarge},
	ReasonNotReady:          {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonWorkspaceLimit:    {status: http.StatusTooManyRequests, retryAfter: soon},
	ReasonQueueFull:         {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonDeadline:          {status: http.StatusGatewayTimeout},
	ReasonQueueTimeout:      {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonTooDeep:           {status: http.StatusLoopDetected},
	ReasonQuarantined:       {status: http.StatusServiceUnavailable, retryAfter: later},
	ReasonCallerGone:        {status: http.StatusServiceUnavailable},

	ReasonNoTarget:      {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonEvacuated:     {status: http.StatusServiceUnavailable, retryAfter: untilTakenBack},
	ReasonShed:          {status: http.StatusServiceUnavailable, retryAfter: elsewhere},
	ReasonConnect:       {status: http.StatusBadGateway, retryAfter: elsewhere},
	ReasonConnLimit:     {status: http.StatusServiceUnavailable, retryAfter: elsewhere},
	ReasonBrokeOff:      {status: http.StatusBadGateway},
	ReasonTargetTimeout: {status: http.StatusGatewayTimeout},
	ReasonForeignAnswer: {status: http.StatusBadGateway},
	ReasonReplaced:      {status: http.StatusServiceUnavailable, retryAfter: elsewhere},
	ReasonTargetLimit:   {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonTargetRest:    {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonOverload:      {status: http.StatusServiceUnavailable, retryAfter: soon},

	ReasonKeyRequired:      {status: http.StatusBadRequest},
	ReasonKeyMalformed:     {status: http.StatusBadRequest},
	ReasonKeyExpired:       {status: http.StatusGone},
	ReasonNoKeys:           {status: http.StatusNotImplemented},
	ReasonKeyMismatch:      {status: http.StatusUnprocessableEntity},
	ReasonKeyInProgress:    {status: http.StatusConflict, retryAfter: soon},
	ReasonKeyUndecided:     {status: http.StatusConflict, retryAfter: later},
	ReasonKeyGivenUp:       {status: http.StatusServiceUnavailable, retryAfter: soon},
	ReasonStoreUnavailable: {status: http.StatusServiceUnavailable, retryAfter: later},
	ReasonClaimUnknown:     {status: http.StatusServiceUnavailable, retryAfter: later},
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
