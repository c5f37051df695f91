package carobfaketarget

// record counts what a target has run since its start.
type record struct {
	// Calls counts the runs of each call.
	Calls map[string]int `json:"calls"`
	// Keys counts the runs of each idempotency key.
	Keys   map[string]int `json:"keys"`
	Totals totals         `json:"totals"`
}

// totals counts calls by their results.
type totals struct {
	// Started counts all runs.
	Started int `json:"started"`
	// Finished counts runs that were answered with status 200, Failed those answered
	// with status 500.
	Finished int `json:"finished"`
	Failed   int `json:"failed"`
	// Cancelled counts calls whose caller closed the connection, before or during the
	// run.
	Cancelled int `json:"cancelled"`
	// Shed counts calls refused with status 503 without a run.
	Shed int `json:"shed"`
	// Uploads counts calls of whose body uploadSize bytes have arrived, also those that are
	// still being received.
	Uploads int `json:"uploads"`
	// Truncated counts requests with an incomplete body; they do not run.
	Truncated int `json:"cut"`
}

// start counts a run. The call's identifier and its idempotency key may be empty.
func (r *record) start(call, key string) {
	r.Totals.Started++
	if call != "" {
		r.Calls[call]++
	}
	if key != "" {
		r.Keys[key]++
	}
}
