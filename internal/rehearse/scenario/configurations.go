package scenario

import (
	"bytes"
	"fmt"
	"syscall"
	"time"
)

func applyConfigurationBursts(r *Rehearsal) error {
	number := 100
	for began := time.Now(); r.withinDuration(began); {
		victim := randomItem(r.Fleet.Proxies)
		victim.Signal(syscall.SIGSTOP)
		next, outcomes := r.startConfigurationBurst(number)
		number = next
		r.Wait(3 * time.Second)
		victim.Signal(syscall.SIGCONT)
		for range cap(outcomes) {
			if err := <-outcomes; err != nil {
				return err
			}
		}
	}
	return nil
}

// startConfigurationBurst applies six variants 100 ms apart, every third of them invalid, then two concurrently that each expect a
// specific version, as racing operators do. It numbers the variants starting after number, and returns the last number. Each apply
// sends its error or nil to outcomes.
func (r *Rehearsal) startConfigurationBurst(number int) (last int, outcomes chan error) {
	outcomes = make(chan error, 8)
	apply := func(content []byte, expected string) {
		_, err := r.Operator.Apply(content, expected, applyTimeout)
		outcomes <- err
	}
	for index := range 6 {
		number++
		content := r.stateVariant(number)
		if index%3 == 2 {
			content = bytes.Replace(content, []byte(`"class": "once"`), []byte(`"class": "twice"`), 1)
		}
		go apply(content, "any")
		r.Wait(100 * time.Millisecond)
	}
	for range 2 {
		number++
		go apply(r.stateVariant(number), fmt.Sprint(number/2))
	}
	return number, outcomes
}

func measureAcknowledgements(r *Rehearsal) error {
	for number := range 10 {
		r.Wait(300 * time.Millisecond)
		if err := r.measureAcknowledgement("all proxies running", number); err != nil {
			return err
		}
	}
	for number := range 4 {
		r.Wait(2 * time.Second)
		victim := randomItem(r.Fleet.Proxies)
		victim.Kill()
		go r.restartAfter(victim, 8*time.Second)
		if err := r.measureAcknowledgement("a proxy just killed", number); err != nil {
			return err
		}
	}
	return nil
}

// measureAcknowledgement applies a variant and logs how long its acknowledgement took.
func (r *Rehearsal) measureAcknowledgement(circumstances string, variant int) error {
	began := time.Now()
	if err := r.applyVariant(variant); err != nil {
		return err
	}
	r.Logf("%s: acknowledged after %d ms", circumstances, time.Since(began).Milliseconds())
	return nil
}
