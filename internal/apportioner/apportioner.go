// Package apportioner computes the guaranteed shares of services from the inventory and its rules.
package apportioner

import (
	"time"

	"bamboohook/internal/inventory"
)

// maxImportance is the highest importance of a rule.
const maxImportance = 100

// Apportioner computes the shares of one inventory. Create it with New. It is safe for concurrent use.
type Apportioner struct {
	baseShares map[string]float64
	rules      []inventory.Rule
}

// New returns an Apportioner for the inventory. Services that declare no share divide the rest of 1 equally.
func New(inv *inventory.Inventory) *Apportioner {
	a := &Apportioner{baseShares: make(map[string]float64, len(inv.Services))}
	remaining, withoutShare := 1.0, 0
	for _, s := range inv.Services {
		remaining -= s.Share
		if s.Share == 0 {
			withoutShare++
		}
	}
	for name, s := range inv.Services {
		a.baseShares[name] = s.Share
		if s.Share == 0 {
			a.baseShares[name] = max(remaining, 0) / float64(withoutShare)
		}
	}
	for _, r := range inv.Rules {
		for _, kind := range r.Kinds {
			if _, ok := inv.Services[kind]; ok {
				a.rules = append(a.rules, r)
				break
			}
		}
	}
	return a
}

// Shares returns the shares at the given time as parts of 1. An active rule multiplies the shares of the
// services that it names by 1 plus its importance in percent, so that the highest importance doubles them. If
// several rules name a service the most important one applies. If the sum then exceeds 1 all shares are scaled
// down to a sum of 1. The result must not be changed.
func (a *Apportioner) Shares(at time.Time) map[string]float64 {
	importance := map[string]int{}
	for _, r := range a.rules {
		if !r.Active(at) {
			continue
		}
		for _, kind := range r.Kinds {
			importance[kind] = max(importance[kind], r.Importance)
		}
	}
	if len(importance) == 0 {
		return a.baseShares
	}
	shares, sum := make(map[string]float64, len(a.baseShares)), 0.0
	for name, share := range a.baseShares {
		share *= 1 + float64(importance[name])/maxImportance
		shares[name] = share
		sum += share
	}
	if sum > 1 {
		for name := range shares {
			shares[name] /= sum
		}
	}
	return shares
}
