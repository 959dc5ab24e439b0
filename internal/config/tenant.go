package config

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"snowflow/internal/config/shared"
	"snowflow/internal/transport/wire"
)

// Maximum lengths of a tenant's name and keys, in bytes.
const (
	maxTenantName = 200
	// MaxTenantKey is the maximum length of a tenant's key.
	MaxTenantKey = 256
)

// Tenant is a customer of the mesh, identified by its API keys. It must not be modified.
type Tenant struct {
	Name string
	// Priority ranks the tenant's requests for admission under load: the lowest number is admitted first. It takes precedence over the
	// priority of routes.
	Priority uint32
}

// KeyDigest identifies a tenant's key without revealing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. It returns false for a key longer than MaxTenantKey bytes.
func DigestKey(key string) (digest KeyDigest, valid bool) {
	if len(key) > MaxTenantKey {
		return KeyDigest{}, false
	}
	var buffer [MaxTenantKey]byte
	length := copy(buffer[:], key)
	return sha256.Sum256(buffer[:length]), true
}

// TenantInForce converts a tenant to the form that proxies get, with sorted digests in place of its keys. Keys that are too long are
// omitted.
func TenantInForce(tenant *wire.Tenant) *wire.TenantInForce {
	inForce := &wire.TenantInForce{Name: tenant.Name, Priority: tenant.GetPriority()}
	for _, key := range tenant.Keys {
		if digest, valid := DigestKey(key); valid {
			inForce.KeyDigests = append(inForce.KeyDigests, digest[:])
		}
	}
	slices.SortFunc(inForce.KeyDigests, bytes.Compare)
	return inForce
}

// tenantTable finds tenants by the digests of their keys. It's immutable, and versions share unchanged parts. The zero tenantTable
// has no tenants.
type tenantTable struct {
	byDigest *shared.Map[*Tenant]
	// count is the number of tenants, including those without a key.
	count int
}

// newTenantTable builds the table of a configuration's tenants.
func newTenantTable(tenants []*wire.Tenant) tenantTable {
	if len(tenants) == 0 {
		return tenantTable{}
	}
	byDigest := map[string]*Tenant{}
	for _, tenant := range tenants {
		addKeys(byDigest, TenantInForce(tenant))
	}
	return tenantTable{byDigest: shared.New(byDigest), count: len(tenants)}
}

func addKeys(byDigest map[string]*Tenant, inForce *wire.TenantInForce) {
	tenant := &Tenant{Name: inForce.Name, Priority: inForce.Priority}
	for _, digest := range inForce.KeyDigests {
		byDigest[string(digest)] = tenant
	}
}

// with returns the table after some tenants are removed and others added. A changed tenant is in both lists.
func (t tenantTable) with(added, removed []*wire.TenantInForce) tenantTable {
	if len(added)+len(removed) == 0 {
		return t
	}
	var removedDigests []string
	for _, tenant := range removed {
		for _, digest := range tenant.KeyDigests {
			removedDigests = append(removedDigests, string(digest))
		}
	}
	byDigest := map[string]*Tenant{}
	for _, tenant := range added {
		addKeys(byDigest, tenant)
	}
	return tenantTable{byDigest: t.byDigest.With(byDigest, removedDigests), count: t.count + len(added) - len(removed)}
}

// HasTenants reports whether the configuration has tenants, so that requests need a key.
func (s *Snapshot) HasTenants() bool { return s.tenants.count > 0 }

// FindTenant returns the tenant that a key belongs to in this version, or nil if there is none. It compares digests, so its running time
// doesn't reveal how much of a key is correct.
func (s *Snapshot) FindTenant(key string) *Tenant {
	digest, valid := DigestKey(key)
	if !valid {
		return nil
	}
	tenant, _ := s.tenants.byDigest.Get(string(digest[:]))
	return tenant
}

// TenantError is one error in a configuration's tenants. Its message never contains a key.
type TenantError struct {
	// Index is the tenant's position in the list.
	Index   int
	Message string
}

// CheckTenants returns all errors in a configuration's tenants: their names must be unique, and each key must belong to one tenant only.
func CheckTenants(tenants []*wire.Tenant) (tenantErrors []TenantError) {
	names, owners := map[string]bool{}, map[string]string{}
	for index, tenant := range tenants {
		report := func(message string) { tenantErrors = append(tenantErrors, TenantError{Index: index, Message: message}) }
		if !isToken(tenant.Name, maxTenantName) {
			report("the name must be of 1 to 200 visible ASCII characters")
		}
		if names[tenant.Name] {
			report("tenant " + tenant.Name + " is there twice")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			owner, taken := owners[key]
			switch {
			case !isToken(key, MaxTenantKey):
				report("a key of tenant " + tenant.Name + " isn't of 1 to 256 visible ASCII characters")
			case taken && owner == tenant.Name:
				report("a key of tenant " + tenant.Name + " is given twice")
			case taken:
				report("tenants " + owner + " and " + tenant.Name + " share a key")
			}
			owners[key] = tenant.Name
		}
	}
	return tenantErrors
}

// isToken reports whether a text can be sent in a header and compared byte by byte: visible ASCII without spaces.
func isToken(text string, maxLength int) bool {
	for index := range len(text) {
		if text[index] <= ' ' || text[index] > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxLength
}

// fingerprintTenants returns lines that describe the tenants and their keys, as input for Fingerprint.
func (s *Snapshot) fingerprintTenants() []string {
	lines := []string{fmt.Sprintf("tenants %d", s.tenants.count)}
	for digest, tenant := range s.tenants.byDigest.All {
		lines = append(lines, fmt.Sprintf("key %x of %q %d", digest, tenant.Name, tenant.Priority))
	}
	return lines
}
