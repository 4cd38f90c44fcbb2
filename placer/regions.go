package placer

import "slices"

// Regions maps availability zones to their regions.
type Regions map[string]string

// Allow reports whether a call restricted to the given regions may go to a zone. An empty list
// allows all zones; otherwise a zone of unknown region is not allowed.
func (r Regions) Allow(zone string, allowed []string) bool {
	if len(allowed) == 0 {
		return true
	}
	region, known := r[zone]
	return known && slices.Contains(allowed, region)
}
