// Package quarantine keeps inputs that end endpoints (queries of death) away from
// them. It compares the prompts that endpoints were about to answer when they
// ended, and names the parts that these prompts share.
package quarantine
