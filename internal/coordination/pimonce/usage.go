package pimonce

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// contractDivisor is the number by which MaxRecords and MaxRefusals are divided to get the limits of one contract: a flood
// under one contract must not take the memory that the requests of others need.
const contractDivisor = 2

// usage counts the records and refusals of one contract.
type usage struct{ records, refusals int }

// usages holds the counts of each contract; imported entries belong to contract 0, which has no limit of its own.
type usages map[pimid.ContractID]usage

// add changes the counts of one contract and deletes the entry of a contract without records and refusals.
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
