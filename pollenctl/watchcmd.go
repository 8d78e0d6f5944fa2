package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pollenfront/pollenfront/operatorapi"
	"github.com/pollenfront/pollenfront/program"
)

// watchInterval is the time between two looks.
const watchInterval = 200 * time.Millisecond

// A zoneForce says how many processes of a zone hold a version.
type zoneForce struct {
	Holders int    `json:"holders"`
	InForce int    `json:"in-force"`
	Zone    string `json:"zone"`
}

// watch waits until a version, or the present one, is in force in all zones.
func (s *session) watch(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	began := time.Now()
	for {
		force, err := s.entries.Force(ctx)
		if err != nil {
			return err
		}
		version = cmp.Or(version, force.Version)
		zones, done := zonesOf(force, version)
		if done || ctx.Err() != nil {
			return s.reportForce(zones, version, done, time.Since(began))
		}
		select {
		case <-ctx.Done():
			return s.reportForce(zones, version, false, time.Since(began))
		case <-time.After(watchInterval):
		}
	}
}

// zonesOf counts the holders of a version by zone. It returns true if the
// version is accepted and every process holds it.
func zonesOf(force operatorapi.Force, version uint64) ([]zoneForce, bool) {
	byZone := make(map[string]*zoneForce)
	done := force.Accepted >= version
	for _, h := range force.Holders {
		z := byZone[h.Zone]
		if z == nil {
			z = &zoneForce{Zone: h.Zone}
			byZone[h.Zone] = z
		}
		z.Holders++
		if h.Version >= version {
			z.InForce++
		} else {
			done = false
		}
	}
	zones := make([]zoneForce, 0, len(byZone))
	for _, z := range byZone {
		zones = append(zones, *z)
	}
	slices.SortFunc(zones, func(a, b zoneForce) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones, done
}

// reportForce writes the zones. It returns an error if the version is not in
// force everywhere.
func (s *session) reportForce(zones []zoneForce, version uint64, done bool, took time.Duration) error {
	rows := make([][]string, 0, len(zones))
	for _, z := range zones {
		rows = append(rows, []string{z.Zone, fmt.Sprintf("%d of %d", z.InForce, z.Holders)})
	}
	if err := s.writer.Table([]string{"zone", fmt.Sprintf("version %d held by", version)}, rows, zones); err != nil {
		return err
	}
	if !done {
		return program.ExitError{Code: program.ExitNotInForce, Err: fmt.Errorf("version %d is not in force everywhere after %v", version, took.Round(time.Millisecond))}
	}
	return nil
}
