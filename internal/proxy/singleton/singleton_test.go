package singleton

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// runClient runs a test with a client whose calls to the registry take a second and then return the given response or error.
func runClient(t *testing.T, response *wire.SingletonLeaseResponse, err error, test func(client *Client)) {
	t.Helper()
	simulated := world.New(1)
	t.Cleanup(simulated.Close)
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		process.Go(func() {
			test(New(Options{
				Host:      process,
				Proxy:     "proxy",
				Available: func(instance string) bool { return instance == "here" },
				CallLeader: func(_ wire.Kind, _, reply proto.Message, _ monotonic.Micros) error {
					process.Sleep(monotonic.Second)
					proto.Merge(reply, response)
					return err
				},
			}))
			ended = true
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestGrantEndsBeforeLease checks that the remaining time of a lease is counted from before the request was sent, less the margin for
// clock drift.
func TestGrantEndsBeforeLease(t *testing.T) {
	const length = 100 * monotonic.Second
	runClient(t, &wire.SingletonLeaseResponse{Granted: true, Duration: int64(length)}, nil, func(client *Client) {
		grant, err := client.Acquire("role", "here", length)
		latest := length - length/clockDriftDivisor - 990*monotonic.Millisecond
		if err != nil || !grant.Granted || grant.Remaining > latest || grant.Remaining < latest-100*monotonic.Millisecond {
			t.Errorf("%+v, %v", grant, err)
		}
	})
}

func TestAcquireErrors(t *testing.T) {
	for _, test := range []struct {
		name, role, instance string
		err                  error
		matches              func(err error) bool
	}{
		{"malformed role", "Role", "here", nil, func(err error) bool { return err != nil && !apierror.IsRefused(err) && !apierror.IsLost(err) }},
		{"instance of another host", "role", "there", nil, apierror.IsRefused},
		{"registry unreachable", "role", "here", apierror.Unreachable.New("no leader"), apierror.IsLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			runClient(t, &wire.SingletonLeaseResponse{Granted: true}, test.err, func(client *Client) {
				if grant, err := client.Acquire(test.role, test.instance, monotonic.Second); !test.matches(err) || grant.Granted {
					t.Errorf("%+v, %v", grant, err)
				}
			})
		})
	}
}

// TestRejectionNamesOwner checks that a backend that is denied a role learns which backend holds it.
func TestRejectionNamesOwner(t *testing.T) {
	runClient(t, &wire.SingletonLeaseResponse{Owner: "other", Instance: "there"}, nil, func(client *Client) {
		grant, err := client.Acquire("role", "here", monotonic.Second)
		if err != nil || grant.Granted || grant.Holder != "other" || grant.Instance != "there" {
			t.Errorf("%+v, %v", grant, err)
		}
	})
}
