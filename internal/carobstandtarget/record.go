package carobstandtarget

// record is what a target has run.
type record struct {
	// Calls counts the runs of each call.
	Calls map[string]int `json:"calls"`
	// Keys counts the runs of each idempotency key.
	Keys   map[string]int `json:"keys"`
	Totals totals         `json:"totals"`
}

// totals counts calls by how they went.
type totals struct {
	// Started counts all runs; the others say how runs ended or why none began.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Shed      int `json:"shed"`
	// Cut counts requests whose body did not come whole.
	Cut int `json:"cut"`
}

func (r *record) start(call, key string) {
	r.Totals.Started++
	if call != "" {
		r.Calls[call]++
	}
	if key != "" {
		r.Keys[key]++
	}
}
