package pimonce

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// contractDivisor is the part of each limit that one contract may use: a flood under one contract must not take the
// memory that the requests of others need.
const contractDivisor = 2

// usage counts the entries of one contract.
type usage struct{ records, refusals int }

// usages counts the entries of all contracts; imported entries belong to contract zero, which has no limit.
type usages map[pimid.ContractID]usage

func (u usages) add(c pimid.ContractID, records, refusals int) {
	n := u[c]
	n.records += records
	n.refusals += refusals
	if n == (usage{}) {
		delete(u, c)
		return
	}
	u[c] = n
}
