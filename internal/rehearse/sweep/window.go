package sweep

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"snowflow/internal/monotonic"
)

// spreadOverWindow calls do count times in succession, evenly spread over the window. It stops at the first error.
func (m *measurement) spreadOverWindow(count int, do func(index int) error) error {
	started := time.Now()
	for index := range count {
		due := started.Add(m.options.Window * time.Duration(2*index+1) / time.Duration(2*count))
		time.Sleep(time.Until(due))
		if err := do(index); err != nil {
			return err
		}
	}
	return nil
}

// measureSteadyState applies changes, claims keys and restarts proxies for the length of the window, at the rates of the size. It
// records the resources that each role used meanwhile.
func (m *measurement) measureSteadyState() error {
	before, err := m.readUsage()
	if err != nil {
		return err
	}
	var work sync.WaitGroup
	errs := make(chan error, 3)
	for _, task := range []func() error{m.applyChanges, m.claimKeys, m.restartProxies} {
		work.Add(1)
		go func() {
			defer work.Done()
			if err := task(); err != nil {
				errs <- err
			}
		}()
	}
	time.Sleep(m.options.Window)
	work.Wait()
	after, err := m.readUsage()
	if err != nil {
		return err
	}
	select {
	case err := <-errs:
		return err
	default:
	}
	m.run.Seconds = after.at.Sub(before.at).Seconds()
	return m.recordUsage(before, after)
}

// applyChanges applies the size's number of changes. For each it records the seconds until it was acknowledged and until all proxies had
// adopted it.
func (m *measurement) applyChanges() error {
	return m.spreadOverWindow(m.size.Changes, func(int) error {
		started := time.Now()
		version, acknowledged, err := m.apply(m.options.Timeout)
		if err != nil {
			return err
		}
		// A proxy skips a version that a newer one has replaced, so the next change is applied only after this wait.
		var last time.Time
		if reached := pollUntil(m.options.Timeout, func() bool {
			latest, missing := m.pool.LastAdoption(version)
			last = latest
			return missing == 0
		}); !reached {
			return fmt.Errorf("change %d was not adopted by all proxies after %v", version, m.options.Timeout)
		}
		m.run.AdoptionSeconds = append(m.run.AdoptionSeconds, last.Sub(started).Seconds())
		m.run.AcknowledgementSeconds = append(m.run.AcknowledgementSeconds, acknowledged)
		return nil
	})
}

// claimKeys claims idempotency keys at a constant rate. Each claim runs in its own goroutine, so that a slow one does not delay the next.
func (m *measurement) claimKeys() error {
	var lock sync.Mutex // guards durations and m.run.Claims
	var work sync.WaitGroup
	var durations []float64
	count := int(float64(m.size.ClaimRate) * m.options.Window.Seconds())
	err := m.spreadOverWindow(count, func(index int) error {
		work.Add(1)
		go func() {
			defer work.Done()
			started := time.Now()
			granted, err := m.pool.Claim(index%m.size.Proxies, fmt.Sprintf("service/key/%d", index), 5*monotonic.Second)
			lock.Lock()
			defer lock.Unlock()
			if err != nil || !granted {
				m.run.Claims.Other++
				return
			}
			durations = append(durations, time.Since(started).Seconds())
		}()
		return nil
	})
	work.Wait()
	slices.Sort(durations)
	m.run.Claims.Granted = len(durations)
	if len(durations) > 0 {
		m.run.Claims.P50, m.run.Claims.P99 = durations[len(durations)/2], durations[len(durations)*99/100]
	}
	return err
}

// restartProxies restarts proxies one at a time, evenly spread over the window.
func (m *measurement) restartProxies() error {
	return m.spreadOverWindow(m.size.Restarts, func(index int) error { return m.pool.Restart(index % m.size.Proxies) })
}
