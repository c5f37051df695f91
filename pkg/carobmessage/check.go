package carobmessage

// checker is a kind of message that tells whether it is within its bounds.
type checker interface {
	Check() error
}

// Check tells whether the sender and the content are within their bounds.
func (m *Message) Check() error {
	if err := m.From.Check(); err != nil {
		return err
	}
	if err := m.Back.Check(); err != nil {
		return err
	}
	for _, c := range m.contents() {
		if err := c.Check(); err != nil {
			return err
		}
	}
	return nil
}

// contents returns the pointers that are set.
func (m *Message) contents() []checker {
	var set []checker

	// Membership and profiles.

	if m.Gossip != nil {
		set = append(set, m.Gossip)
	}
	if m.Probe != nil {
		set = append(set, m.Probe)
	}
	if m.Digest != nil {
		set = append(set, m.Digest)
	}
	if m.Fetch != nil {
		set = append(set, m.Fetch)
	}
	if m.Supply != nil {
		set = append(set, m.Supply)
	}

	if m.Routes != nil {
		set = append(set, m.Routes)
	}

	// Calls and claims.

	// Measuring.

	return set
}
