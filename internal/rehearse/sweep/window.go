package sweep

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"snowflow/internal/monotonic"
)

// spreadOverWindow calls do count times, one after another, evenly spread over the window. It stops at the first error.
func (m *measurement) spreadOverWindow(count int, do func(index int) error) error {
	began := time.Now()
	for index := range count {
		due := began.Add(m.options.Window * time.Duration(2*index+1) / time.Duration(2*count))
		time.Sleep(time.Until(due))
		if err := do(index); err != nil {
			return err
		}
	}
	return nil
}

// measure applies changes, claims keys and restarts proxies at the size's rates for the window, and records what each role used
// meanwhile.
func (m *measurement) measure() error {
	before, err := m.readUsage()
	if err != nil {
		return err
	}
	var work sync.WaitGroup
	faults := make(chan error, 3)
	for _, task := range []func() error{m.applyChanges, m.claimKeys, m.restartProxies} {
		work.Add(1)
		go func() {
			defer work.Done()
			if err := task(); err != nil {
				faults <- err
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
	case err := <-faults:
		return err
	default:
	}
	m.run.Seconds = after.at.Sub(before.at).Seconds()
	return m.recordUsage(before, after)
}

// applyChanges applies the size's changes and records, for each, how long its acknowledgement and its adoption by all proxies took.
func (m *measurement) applyChanges() error {
	return m.spreadOverWindow(m.size.Changes, func(int) error {
		began := time.Now()
		version, took, err := m.apply(m.options.Timeout)
		if err != nil {
			return err
		}
		// A proxy skips a version that a newer one has replaced, so no other change may be applied during this wait.
		var last time.Time
		if reached := pollUntil(m.options.Timeout, func() bool {
			adopted, missing := m.pool.LastAdoption(version)
			last = adopted
			return missing == 0
		}); !reached {
			return fmt.Errorf("change %d was not adopted by all proxies after %v", version, m.options.Timeout)
		}
		m.run.AdoptionSeconds = append(m.run.AdoptionSeconds, last.Sub(began).Seconds())
		m.run.AcknowledgementSeconds = append(m.run.AcknowledgementSeconds, took)
		return nil
	})
}

// claimKeys claims idempotency keys at a steady rate. Each claim has a goroutine of its own, so that a slow one does not delay the
// next.
func (m *measurement) claimKeys() error {
	var lock sync.Mutex // guards took and m.run.Claims
	var work sync.WaitGroup
	var took []float64
	count := int(float64(m.size.ClaimRate) * m.options.Window.Seconds())
	err := m.spreadOverWindow(count, func(index int) error {
		work.Add(1)
		go func() {
			defer work.Done()
			began := time.Now()
			granted, err := m.pool.Claim(index%m.size.Proxies, fmt.Sprintf("service/key/%d", index), 5*monotonic.Second)
			lock.Lock()
			defer lock.Unlock()
			if err != nil || !granted {
				m.run.Claims.Other++
				return
			}
			took = append(took, time.Since(began).Seconds())
		}()
		return nil
	})
	work.Wait()
	slices.Sort(took)
	m.run.Claims.Granted = len(took)
	if len(took) > 0 {
		m.run.Claims.P50, m.run.Claims.P99 = took[len(took)/2], took[len(took)*99/100]
	}
	return err
}

// restartProxies restarts proxies one at a time, evenly spread over the window.
func (m *measurement) restartProxies() error {
	return m.spreadOverWindow(m.size.Restarts, func(index int) error { return m.pool.Restart(index % m.size.Proxies) })
}
