// Package apportioner computes the guaranteed share of each service, which is a fraction of the slots. The inventory
// declares the shares, and rules that raise the shares of some services at certain times.
package apportioner

import (
	"time"

	"bamboohook/internal/inventory"
)

// maxImportance is the highest importance that a rule can have. A rule with this importance doubles the shares of its
// services.
const maxImportance = 100

// Apportioner computes the shares of one inventory. Create it with New. It is safe for concurrent use.
type Apportioner struct {
	// baseShares maps the services to their shares at times when no rule is active.
	baseShares map[string]float64
	// rules are the rules that apply to at least one service of the inventory. A rule names kinds and
	// services in KindsAndServices; only the services matter here.
	rules []inventory.Rule
}

// New returns an Apportioner for the inventory. The difference between 1 and the sum of the declared shares is divided
// equally among the services that declare no share.
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
		for _, serviceName := range r.KindsAndServices {
			if _, ok := inv.Services[serviceName]; ok {
				a.rules = append(a.rules, r)
				break
			}
		}
	}
	return a
}

// Shares returns a map from the services to their shares at the given time. Each active rule multiplies the shares of
// its services by 1 plus its importance in percent. If several active rules name a service, only the most important of
// them applies to that service. If a rule is active and the sum of all shares exceeds 1, all shares are divided by that
// sum. The caller must not change the map.
func (a *Apportioner) Shares(at time.Time) map[string]float64 {
	importance := map[string]int{}
	for _, r := range a.rules {
		if !r.Active(at) {
			continue
		}
		for _, serviceName := range r.KindsAndServices {
			importance[serviceName] = max(importance[serviceName], r.Importance)
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
