// Package admission decides which requests are accepted while more work arrives than the
// servers have slots for. It knows the demand of all gateways by service, priority and
// organisation: each measures its own, and they tell each other. All decisions get the time
// and the loads from their caller.
package admission
