package daemon

import (
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/settings"
)

// Shares of the descriptors and of the memory of a host, so that clients leave some for its targets, the store and other
// hosts.
const (
	// reservedDescriptors are for files, other hosts, the store and listeners.
	reservedDescriptors = 200
	// callerDescriptorDivisor and targetDescriptorDivisor divide the other descriptors: client connections may use a
	// third, connections to targets half.
	callerDescriptorDivisor = 3
	targetDescriptorDivisor = 2
	// callerConnMemory is the memory in bytes of a client connection with a request that is being served, and
	// callerConnMemoryDivisor divides the memory limit: client connections may use a quarter.
	callerConnMemory        = 64 << 10
	callerConnMemoryDivisor = 4
	// usualDescriptors is assumed if the limit of the process is unknown, and maxDescriptors if it is very high.
	usualDescriptors = 1024
	maxDescriptors   = 1 << 20
	// minConns is the least number of connections that a limit allows, however small the host is.
	minConns = 16
)

// MaxAuxiliaryConns is the maximum of connections of a listener that a few clients poll, such as that for readiness.
const MaxAuxiliaryConns = 32

// CallerWriteTimeout ends a client connection whose client reads nothing for so long. A write has 32 KiB at most, so that
// a client that reads 1 KiB a second is served.
const CallerWriteTimeout = time.Minute

// MaxCallerConns returns the maximum of client connections.
func MaxCallerConns(s *settings.Settings) int {
	if n := s.Callers.MaxConns; n > 0 {
		return n
	}
	n := connDescriptors(s) / callerDescriptorDivisor
	if mb := s.MemoryMB; mb > 0 {
		n = min(n, mb<<20/callerConnMemoryDivisor/callerConnMemory)
	}
	return max(minConns, n)
}

// MaxTargetConns returns the maximum of connections to targets.
func MaxTargetConns(s *settings.Settings) int {
	return max(minConns, connDescriptors(s)/targetDescriptorDivisor)
}

// connDescriptors returns how many descriptors connections to targets and from clients may use.
func connDescriptors(s *settings.Settings) int {
	n := s.Descriptors
	if n == 0 {
		n = processDescriptors()
	}
	return max(0, n-reservedDescriptors)
}

// processDescriptors returns how many descriptors this process may have open.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return usualDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
