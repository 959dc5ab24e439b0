package config

import (
	"fmt"
	"strings"

	"snowflow/internal/resourcepath"
	"snowflow/internal/settings"
	"snowflow/internal/transport/wire"
)

// Maximum lengths of texts, in bytes.
const (
	maxNote      = 1000
	maxRouteName = 200
	maxHost      = 253
	maxPrefix    = 500
)

// reservedPrefix is the prefix of the paths that proxies serve themselves.
const reservedPrefix = "/.snowflow"

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, anyMethod: true}

// Validate returns all errors in a configuration, or nil if it is valid.
func Validate(state *wire.DesiredState) []FieldError {
	v := &validator{services: map[string]string{}, matches: map[string]string{}}
	if len(state.Groups) == 0 {
		v.addf("groups", "at least one group is needed")
	}
	if len(state.Note) > maxNote {
		v.addf("note", "longer than %d characters", maxNote)
	}
	v.checkGroups(state)
	v.checkRoutes(state.Routes)
	for _, tenantError := range CheckTenants(state.Tenants) {
		v.addf(fmt.Sprintf("tenants[%d]", tenantError.Index), "%s", tenantError.Message)
	}
	return v.fieldErrors
}

// validator collects the errors of a configuration.
type validator struct {
	fieldErrors []FieldError
	// services maps the names of services to their locations.
	services map[string]string
	// matches maps what a path or route matches to its location.
	matches map[string]string
}

// addf adds an error with a message that is formatted as by fmt.Sprintf.
func (v *validator) addf(location, format string, arguments ...any) {
	v.fieldErrors = append(v.fieldErrors, FieldError{Location: location, Message: fmt.Sprintf(format, arguments...)})
}

// checkGroups checks the groups and their services, and records the names of the services for checkRoutes.
func (v *validator) checkGroups(state *wire.DesiredState) {
	groups := map[string]string{}
	for index, group := range state.Groups {
		location := fmt.Sprintf("groups[%d]", index)
		v.checkName(location, group.Name, groups)
		v.checkPolicies(location, group.Guard, group.Retry, group.Limits)
		if len(group.Services) == 0 {
			v.addf(location+".services", "at least one service is needed")
		}
		for serviceIndex, service := range group.Services {
			v.checkService(fmt.Sprintf("%s.services[%d]", location, serviceIndex), group, service, len(state.Routes) == 0)
		}
	}
}

// checkService checks a service. needsPath is set if the configuration has no routes, so that each service must declare a path.
func (v *validator) checkService(location string, group *wire.Group, service *wire.Service, needsPath bool) {
	v.checkName(location, service.Name, v.services)
	v.checkPolicies(location, service.Guard, service.Retry, service.Limits)
	v.checkEffective(location, group, service)
	if needsPath && len(service.Paths) == 0 {
		v.addf(location+".paths", "at least one path is needed")
	}
	for index, path := range service.Paths {
		v.checkMatch(fmt.Sprintf("%s.paths[%d]", location, index), "", path.Method, path.Prefix, path.Class)
	}
}

// checkName checks the name of a group or service. seen maps the names that were checked before to their locations.
func (v *validator) checkName(location, name string, seen map[string]string) {
	if settings.CheckName(name) != nil {
		v.addf(location+".name", "%q must be a lower-case letter, then up to 62 letters, digits or hyphens", name)
	}
	v.checkUniqueName(location, name, seen)
}

// checkUniqueName checks that a name isn't in seen, and adds it there.
func (v *validator) checkUniqueName(location, name string, seen map[string]string) {
	if other, duplicate := seen[name]; duplicate {
		v.addf(location+".name", "%q is already used at %s", name, other)
	}
	seen[name] = location
}

// checkRoutes checks the list of routes. It must be called after checkGroups.
func (v *validator) checkRoutes(routes []*wire.Route) {
	names := map[string]string{}
	for index, route := range routes {
		location := fmt.Sprintf("routes[%d]", index)
		if route.Name == "" || len(route.Name) > maxRouteName {
			v.addf(location+".name", "%q must be of 1 to %d bytes", route.Name, maxRouteName)
		}
		v.checkUniqueName(location, route.Name, names)
		if route.Host != CanonicalHost(route.Host) || strings.ContainsAny(route.Host, "/?#@ ") || len(route.Host) > maxHost {
			v.addf(location+".host", "%q must be a host name in lower case, without a port or a trailing dot", route.Host)
		}
		v.checkMatch(location, route.Host, methodOrAny(route.Method), route.Prefix, route.Class)
		v.checkSplit(location+".split", route.Split)
		v.checkDuration(location+".cutoffMicros", route.CutoffMicros, 1, maxRequestDuration)
		v.checkDuration(location+".aimMicros", route.AimMicros, 1, maxRequestDuration)
		v.checkCount(location+".mostTries", route.MostTries, 1, maxAttempts)
	}
}

// checkSplit checks a route's split: its services must exist, and at least one weight must be above zero.
func (v *validator) checkSplit(location string, split []*wire.Share) {
	if len(split) == 0 {
		v.addf(location, "at least one service is needed")
		return
	}
	sum := uint64(0)
	for index, share := range split {
		sum += uint64(share.Weight)
		if _, known := v.services[share.Service]; !known {
			v.addf(fmt.Sprintf("%s[%d].service", location, index), "no service %q", share.Service)
		}
	}
	if sum == 0 {
		v.addf(location, "at least one weight must be above zero")
	}
}

// checkMatch checks the fields that a service's path and a route have in common. The host is empty for any host.
func (v *validator) checkMatch(location, host, method, prefix string, class wire.Path_Class) {
	if !methods[method] {
		v.addf(location+".method", "%q is not a method or *", method)
	}
	if !strings.HasPrefix(prefix, "/") || strings.ContainsAny(prefix, "?# ") || len(prefix) > maxPrefix {
		v.addf(location+".prefix", "%q must start with / and hold no ?, # or space", prefix)
	}
	if canonical, err := resourcepath.Parse(prefix); strings.HasPrefix(prefix, "/") && (err != nil || canonical.Path != prefix) {
		v.addf(location+".prefix", "%q must be spelled as requests are resolved: no escapes, doubled slashes or dot segments", prefix)
	}
	if strings.HasPrefix(prefix, reservedPrefix) {
		v.addf(location+".prefix", "%s is reserved for the mesh", reservedPrefix)
	}
	if class == wire.Path_unset {
		v.addf(location+".class", "must be read, once or single")
	}
	// A path with and without a trailing slash is the same resource, which must not have two classes.
	key := method + " " + host + resourcepath.TrimTrailingSlash(prefix)
	if other, duplicate := v.matches[key]; duplicate {
		v.addf(location, "%s is already at %s", key, other)
	}
	v.matches[key] = location
}
