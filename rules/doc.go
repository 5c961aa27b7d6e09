// Package rules parses the rules file of a deployment. A parsed file routes
// requests and maps bearer tokens to organisations; Diff lists what a new file
// changes for callers.
//
// The file is plain UTF-8 text with one rule per line. Every rule ends in a
// comment that names who asked for it. Empty lines and lines that contain only a
// comment are allowed. Clauses in brackets are optional, and clauses may be in any
// order. LIST is one or more values, separated by commas without spaces.
//
//	organisation NAME token LIST [limit RATES] [share NUMBER]  # asked for by WHO: why
//	group NAME models LIST [carries RATES]                     # asked for by WHO
//	service NAME [carries N requests/s]                        # asked for by WHO
//	route METHOD PATH [organisation LIST] [class CLASS]
//	      to group|service NAME [once] [timeout TIME]          # asked for by WHO
//	route model LIST [the same clauses]                        # asked for by WHO
//	weights skew NUMBER rebalance NUMBER                       # asked for by WHO
//
// A token is written as sha256: and the 64 hexadecimal digits of its SHA-256
// hash. RATES is "N requests/s", "N tokens/s" or both. METHOD is an HTTP method
// or "any". PATH begins with a slash, is compared with the decoded path of the
// request, and may end in a star, which matches any remainder. CLASS is
// interactive or batch. TIME is a Go duration such as 30s. A group is a model
// group and a service a plain service, which lists no models. The clause
// carries gives the load that a group or service can handle, and share the
// weight of an organisation when demand exceeds capacity. A request on a route
// with once is never sent a second time. The weights, from 0 to 1, set how much
// each of the two objectives skew and rebalance counts in balancing model
// groups. The first matching route applies. Requests that name a model are
// matched only with routes by model, all other requests only with routes by
// path.
//
// All functions depend on their arguments alone: they use no clock, no network and
// no file system. A Set is immutable, and its methods are safe for concurrent use.
package rules
