package placer

import "slices"

// Regions are the regions of availability zones, by zone.
type Regions map[string]string

// Allow reports whether a call that may reach certain regions alone, or all if there are none,
// may reach a zone. One whose region is not known may be anywhere.
func (r Regions) Allow(zone string, only []string) bool {
	if len(only) == 0 {
		return true
	}
	region, known := r[zone]
	return known && slices.Contains(only, region)
}
