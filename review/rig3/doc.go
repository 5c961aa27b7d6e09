// Command rig3 plays one case of the third review: it starts gateways as separate processes
// before stand-ins for the platform's store, its backend servers and callers, causes the
// disruption of the case, and checks one rule from what callers and servers have seen.
//
// Usage: rig3 CASE FOLDER, where FOLDER receives record.txt. The exit status is 1 if the rule
// was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main
