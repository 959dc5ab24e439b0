package config_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// tenantState returns a configuration with one service and the given tenants.
func tenantState(tenants ...*wire.Tenant) *wire.DesiredState {
	return &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}, Tenants: tenants}
}

func TestCheckTenants(t *testing.T) {
	longKey := strings.Repeat("k", config.MaxTenantKey+1)
	for name, test := range map[string]struct {
		tenants []*wire.Tenant
		message string
	}{
		"valid":                {[]*wire.Tenant{{Name: "north", Keys: []string{"k1", "k2"}}, {Name: "south", Keys: []string{"k3"}}}, ""},
		"no keys left":         {[]*wire.Tenant{{Name: "north"}}, ""},
		"no name":              {[]*wire.Tenant{{Keys: []string{"k1"}}}, "name must be"},
		"a name with a break":  {[]*wire.Tenant{{Name: "north\r\nHost: x"}}, "name must be"},
		"a name twice":         {[]*wire.Tenant{{Name: "north"}, {Name: "north"}}, "north is there twice"},
		"a shared key":         {[]*wire.Tenant{{Name: "north", Keys: []string{"secret"}}, {Name: "south", Keys: []string{"secret"}}}, "north and south share a key"},
		"a key twice":          {[]*wire.Tenant{{Name: "north", Keys: []string{"secret", "secret"}}}, "given twice"},
		"an empty key":         {[]*wire.Tenant{{Name: "north", Keys: []string{""}}}, "visible ASCII"},
		"a long key":           {[]*wire.Tenant{{Name: "north", Keys: []string{longKey}}}, "visible ASCII"},
		"a key with a break":   {[]*wire.Tenant{{Name: "north", Keys: []string{"secret\n"}}}, "visible ASCII"},
		"a key with a space":   {[]*wire.Tenant{{Name: "north", Keys: []string{"secret key"}}}, "visible ASCII"},
		"a key beyond ASCII":   {[]*wire.Tenant{{Name: "north", Keys: []string{"secreté"}}}, "visible ASCII"},
		"the longest key of 1": {[]*wire.Tenant{{Name: "north", Keys: []string{longKey[1:]}}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tenantErrors := config.CheckTenants(test.tenants)
			if (len(tenantErrors) > 0) != (test.message != "") || len(tenantErrors) > 0 && !strings.Contains(tenantErrors[0].Message, test.message) {
				t.Errorf("errors %v, want %q", tenantErrors, test.message)
			}
			for _, tenantError := range tenantErrors {
				if strings.Contains(tenantError.Message, "secret") || strings.Contains(tenantError.Message, longKey) {
					t.Errorf("%q reveals a key", tenantError.Message)
				}
			}
			if fieldErrors := config.Validate(validState(test.tenants)); len(fieldErrors) != len(tenantErrors) {
				t.Errorf("Validate reports %v", fieldErrors)
			}
		})
	}
}

// validState returns a configuration with the given tenants that is otherwise valid.
func validState(tenants []*wire.Tenant) *wire.DesiredState {
	state := tenantState(tenants...)
	state.Groups[0].Services[0].Paths = []*wire.Path{{Method: "GET", Prefix: "/a", Class: wire.Path_read}}
	return state
}

func TestFindTenant(t *testing.T) {
	snapshot := config.Compile(tenantState(&wire.Tenant{Name: "north", Keys: []string{"k1", "k2"}, Priority: proto.Uint32(3)}, &wire.Tenant{Name: "south", Keys: []string{"k3"}}), 1, "")
	for key, name := range map[string]string{"k1": "north", "k2": "north", "k3": "south", "k": "", "k11": "", "": "", strings.Repeat("k", 9999): ""} {
		found := snapshot.FindTenant(key)
		if (found != nil) != (name != "") || found != nil && found.Name != name {
			t.Errorf("key %.20q belongs to %v, want %q", key, found, name)
		}
	}
	if found := snapshot.FindTenant("k1"); found.Priority != 3 {
		t.Errorf("priority %d, want 3", found.Priority)
	}
	if withoutTenants := config.Compile(tenantState(), 1, ""); withoutTenants.HasTenants() || withoutTenants.FindTenant("k1") != nil {
		t.Error("a configuration without tenants has some")
	}
	if withoutKeys := config.Compile(tenantState(&wire.Tenant{Name: "north"}), 1, ""); !withoutKeys.HasTenants() {
		t.Error("a tenant without keys isn't counted")
	}
}

// TestTenantVersions compares the tenants of successive versions with a plain map, while keys are added, removed and moved between tenants.
func TestTenantVersions(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		snapshot, current := config.Compile(tenantState(), 1, ""), map[string]*wire.TenantInForce{}
		for version := range uint64(30) {
			owners, next := map[string]string{}, map[string]*wire.TenantInForce{}
			for number := range 40 {
				if owner := random.IntN(9); owner < 6 {
					owners[fmt.Sprintf("key-%d", number)] = fmt.Sprintf("tenant-%d", owner)
				}
			}
			for number := range 6 {
				if random.IntN(4) > 0 {
					tenant := &wire.Tenant{Name: fmt.Sprintf("tenant-%d", number)}
					for key, owner := range owners {
						if owner == tenant.Name {
							tenant.Keys = append(tenant.Keys, key)
						}
					}
					next[tenant.Name] = config.TenantInForce(tenant)
				}
			}
			change := &config.Change{}
			for name, tenant := range next {
				if former := current[name]; former == nil || !proto.Equal(former, tenant) {
					change.Tenants = append(change.Tenants, tenant)
					if former != nil {
						change.RemovedTenants = append(change.RemovedTenants, former)
					}
				}
			}
			for name, former := range current {
				if next[name] == nil {
					change.RemovedTenants = append(change.RemovedTenants, former)
				}
			}
			var err error
			if snapshot, err = snapshot.With(change, version+2, ""); err != nil {
				t.Fatal(err)
			}
			current = next
			if snapshot.HasTenants() != (len(next) > 0) {
				t.Fatalf("seed %d: HasTenants is %v with %d tenants", seed, snapshot.HasTenants(), len(next))
			}
			for number := range 40 {
				key := fmt.Sprintf("key-%d", number)
				want := owners[key]
				if next[want] == nil {
					want = ""
				}
				if found := snapshot.FindTenant(key); found == nil && want != "" || found != nil && found.Name != want {
					t.Fatalf("seed %d version %d: key %s belongs to %v, want %q", seed, version, key, found, want)
				}
			}
		}
	}
}

// TestFindTenantAllocatesNothing guards the cost of a lookup, which is done for each request.
func TestFindTenantAllocatesNothing(t *testing.T) {
	snapshot := config.Compile(manyTenants(1000), 1, "")
	key := "key-of-a-customer-500"
	if allocations := testing.AllocsPerRun(100, func() { snapshot.FindTenant(key) }); allocations > 0 || snapshot.FindTenant(key) == nil {
		t.Errorf("%.1f allocations, want 0", allocations)
	}
}

func manyTenants(count int) *wire.DesiredState {
	state := tenantState()
	for number := range count {
		state.Tenants = append(state.Tenants, &wire.Tenant{Name: fmt.Sprintf("tenant-%d", number), Keys: []string{fmt.Sprintf("key-of-a-customer-%d", number)}})
	}
	return state
}

// BenchmarkFindTenant measures a lookup among 100,000 keys.
func BenchmarkFindTenant(b *testing.B) {
	state := manyTenants(100_000)
	before := heapBytes()
	snapshot := config.Compile(state, 1, "")
	perKey := float64(heapBytes()-before) / 100_000
	runtime.KeepAlive(state)
	b.ReportAllocs()
	for b.Loop() {
		if snapshot.FindTenant("key-of-a-customer-99999") == nil {
			b.Fatal("not found")
		}
	}
	b.ReportMetric(perKey, "heap-B/key")
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// FuzzParseTenants checks that a configuration whose tenants share a key or a name is rejected, and that in an accepted one each key
// finds its tenant.
func FuzzParseTenants(f *testing.F) {
	f.Add("north", "k1", "k2", "south", "k3")
	f.Add("north", "k1", "k1", "north", "")
	f.Add("n\r\n", " ", "k2", "south", "k2")
	f.Fuzz(func(t *testing.T, one, first, second, other, third string) {
		state := validState([]*wire.Tenant{{Name: one, Keys: []string{first, second}}, {Name: other, Keys: []string{third}}})
		if len(config.Validate(state)) > 0 {
			return
		}
		if first == second || first == third || second == third || one == other {
			t.Fatal("two keys or names are the same")
		}
		snapshot := config.Compile(state, 1, "")
		for key, name := range map[string]string{first: one, second: one, third: other} {
			if found := snapshot.FindTenant(key); found == nil || found.Name != name || strings.ContainsAny(name, "\r\n ") {
				t.Fatalf("key %q belongs to %v, want %q", key, found, name)
			}
		}
	})
}
