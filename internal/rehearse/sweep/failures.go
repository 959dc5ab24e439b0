package sweep

import (
	"sync"
	"time"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/transport/wire"
)

// readAttemptTimeout bounds one read of the configurations while the primary may be gone.
const readAttemptTimeout = 300 * monotonic.Millisecond

// measureFailures kills both primaries at once and records how long claims, reads and changes fail. Then it stops all proxies, waits
// for their sessions to expire and starts them again at once. It does nothing unless the options ask for failures.
func (m *measurement) measureFailures() error {
	if !m.options.Failures {
		return nil
	}
	result := &RecoveryTimes{TimeoutSeconds: m.options.Timeout.Seconds()}
	m.run.Recovery = result
	killed, err := m.killPrimaries()
	if err != nil {
		return err
	}
	m.measureOutage(result)
	for _, process := range killed {
		if err := m.fleet.Start(process, ""); err != nil {
			return err
		}
	}
	if err := fleet.AwaitReady(killed, m.options.Timeout); err != nil {
		return err
	}
	m.pool.StopAll()
	time.Sleep(directory.SessionTimeout.Duration() + time.Second) // all sessions expire
	return m.measureMassRestart(result)
}

// killPrimaries kills the primaries of both groups at once, and returns their processes.
func (m *measurement) killPrimaries() (killed []*fleet.Process, err error) {
	statuses, err := m.awaitPrimaries()
	if err != nil {
		return nil, err
	}
	for _, process := range m.fleet.ControlPlane() {
		if statuses[process.Program].Primary == process.Name {
			killed = append(killed, process)
		}
	}
	for _, process := range killed {
		process.Kill()
	}
	return killed, nil
}

// measureOutage records how long it takes until a claim, a read and a change succeed again. What fails for all of the timeout is
// left out.
func (m *measurement) measureOutage(result *RecoveryTimes) {
	began := time.Now()
	var work sync.WaitGroup
	for into, request := range map[**float64]func() error{&result.Claims: m.claimOnce, &result.Reads: m.readOnce, &result.Applies: m.applyOnce} {
		work.Add(1)
		go func() {
			defer work.Done()
			if request() == nil {
				took := time.Since(began).Seconds()
				*into = &took
			}
		}()
	}
	work.Wait()
}

func (m *measurement) claimOnce() error {
	_, err := m.pool.Claim(0, "service/after", monotonic.FromDuration(m.options.Timeout))
	return err
}

func (m *measurement) readOnce() error {
	return m.callPrimary(configStoreGroup, m.options.Timeout, func(name string, left monotonic.Micros) error {
		return m.resolver.Call(name, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, &wire.ConfigReadResponse{}, min(left, readAttemptTimeout))
	})
}

func (m *measurement) applyOnce() error {
	_, _, err := m.apply(m.options.Timeout)
	return err
}

// measureMassRestart starts all proxies at once, and records how long it takes until they are ready and know all others and how many
// bytes each exchanges until then.
func (m *measurement) measureMassRestart(result *RecoveryTimes) error {
	bytes := func() (total float64) {
		for _, counted := range m.pool.MessageCounts() {
			total += float64(counted.SentBytes + counted.ReceivedBytes)
		}
		return total
	}
	before, began := bytes(), time.Now()
	if err := m.pool.StartAll(0); err != nil {
		return err
	}
	for _, target := range []struct {
		into  **float64
		count func() int
	}{{&result.Ready, m.pool.ReadyCount}, {&result.Complete, m.pool.CompleteDirectoryCount}} {
		if reached := pollUntil(m.options.Timeout-time.Since(began), m.countsAllProxies(target.count)); reached {
			took := time.Since(began).Seconds()
			*target.into = &took
		}
	}
	result.Bytes = (bytes() - before) / float64(m.size.Proxies)
	return nil
}
