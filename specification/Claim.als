/**
 * The claim on one idempotency key.
 *
 * Each attempt may run on an instance of its own. Writes land late or never, answers are lost, and
 * an attempt may pause between any two of its steps: nothing forces the next step to come. A target
 * may execute a call long after it was sent, and checks no fencing number.
 */
module Claim

abstract sig State {}
one sig Absent, Sending, Done, NotRun, Unsettled extends State {}

sig Attempt {
  -- Owner of the row that a write on its way expects; none for an absent row.
  var expected: lone Attempt
}

one sig Row {
  var state: one State,
  var owner: lone Attempt
}

var sig OnItsWay in Attempt {}   -- a write of the claim that may still land
var sig Confirmed in Attempt {}  -- has seen its own row
var sig GaveUp in Attempt {}     -- decided never to send
var sig Sent in Attempt {}       -- a byte of the call may have left
var sig Ran in Attempt {}        -- the target executed the call
var sig Dead in Attempt {}       -- its instance has ended
var sig ToldNotRun in Attempt {} -- its caller was told that nothing ran

-- Seeded faults of the protocol; at most one is present, and none in the protocol itself.
abstract sig Mutant {}
lone sig SendBeforeConfirmation, SurvivorReleases, SendAfterGivingUp extends Mutant {}

pred unchangedRow { Row.state' = Row.state and Row.owner' = Row.owner }
pred unchangedAttempts {
  OnItsWay' = OnItsWay and Confirmed' = Confirmed and GaveUp' = GaveUp and Sent' = Sent
  Ran' = Ran and Dead' = Dead and ToldNotRun' = ToldNotRun and expected' = expected
}

pred init {
  Row.state = Absent and no Row.owner
  no OnItsWay + Confirmed + GaveUp + Sent + Ran + Dead + ToldNotRun
  no expected
}

pred alive[a: Attempt] { a not in Dead }

-- ClaimTable.claim: writes over an absent row or over one that says not run.
pred write[a: Attempt] {
  alive[a] and a not in GaveUp + Confirmed + OnItsWay + Sent
  Row.state = Absent or (Row.state = NotRun and Row.owner != a)
  OnItsWay' = OnItsWay + a
  expected' = (expected - a->Attempt) + (Row.state = NotRun implies a->Row.owner else none->none)
  Confirmed' = Confirmed and GaveUp' = GaveUp and Sent' = Sent
  Ran' = Ran and Dead' = Dead and ToldNotRun' = ToldNotRun
  unchangedRow
}

-- The store applies the write, or finds another revision; the answer may be lost either way.
pred land[a: Attempt] {
  a in OnItsWay
  OnItsWay' = OnItsWay - a
  expected' = expected - a->Attempt
  ((no a.expected and Row.state = Absent)
      or (some a.expected and Row.state = NotRun and Row.owner = a.expected))
    implies (Row.state' = Sending and Row.owner' = a)
    else unchangedRow
  Confirmed' = Confirmed and GaveUp' = GaveUp and Sent' = Sent
  Ran' = Ran and Dead' = Dead and ToldNotRun' = ToldNotRun
}

-- By the answer to the write or by a read of its own attempt id.
pred confirm[a: Attempt] {
  alive[a] and a not in GaveUp + Confirmed
  Row.state = Sending and Row.owner = a
  Confirmed' = Confirmed + a
  OnItsWay' = OnItsWay and GaveUp' = GaveUp and Sent' = Sent and expected' = expected
  Ran' = Ran and Dead' = Dead and ToldNotRun' = ToldNotRun
  unchangedRow
}

pred send[a: Attempt] {
  alive[a] and a not in Sent
  a in Confirmed or (some SendBeforeConfirmation and a in OnItsWay)
  a not in GaveUp or some SendAfterGivingUp
  Sent' = Sent + a
  OnItsWay' = OnItsWay and Confirmed' = Confirmed and GaveUp' = GaveUp and expected' = expected
  Ran' = Ran and Dead' = Dead and ToldNotRun' = ToldNotRun
  unchangedRow
}

pred run_[a: Attempt] {
  a in Sent and a not in Ran
  Ran' = Ran + a
  OnItsWay' = OnItsWay and Confirmed' = Confirmed and GaveUp' = GaveUp and expected' = expected
  Sent' = Sent and Dead' = Dead and ToldNotRun' = ToldNotRun
  unchangedRow
}

-- The deadline passes before anything was sent; the caller is told that nothing ran.
pred giveUp[a: Attempt] {
  alive[a] and a not in GaveUp + Sent
  GaveUp' = GaveUp + a and ToldNotRun' = ToldNotRun + a
  OnItsWay' = OnItsWay and Confirmed' = Confirmed and Sent' = Sent and expected' = expected
  Ran' = Ran and Dead' = Dead
  unchangedRow
}

-- ClaimTable.settle with the outcome not run.
pred settleNotRun[a: Attempt] {
  alive[a] and a in GaveUp
  (Row.owner = a and Row.state in Sending + Unsettled) or Row.state = Absent
  Row.state' = NotRun and Row.owner' = a
  unchangedAttempts
}

-- ClaimTable.settle with the answer of the call.
pred settleDone[a: Attempt] {
  alive[a] and a in Ran
  Row.owner = a and Row.state in Sending + Unsettled
  Row.state' = Done and Row.owner' = a
  unchangedAttempts
}

-- ClaimSweeper: a survivor holds the owner for ended, rightly or not.
pred abandon {
  Row.state = Sending
  Row.state' = (some SurvivorReleases implies NotRun else Unsettled)
  Row.owner' = Row.owner
  unchangedAttempts
}

pred die[a: Attempt] {
  alive[a]
  Dead' = Dead + a
  OnItsWay' = OnItsWay and Confirmed' = Confirmed and GaveUp' = GaveUp and expected' = expected
  Sent' = Sent and Ran' = Ran and ToldNotRun' = ToldNotRun
  unchangedRow
}

pred stutter { unchangedRow and unchangedAttempts }

fact behaviour {
  init
  always (stutter or abandon or some a: Attempt |
    write[a] or land[a] or confirm[a] or send[a] or run_[a] or giveUp[a]
      or settleNotRun[a] or settleDone[a] or die[a])
}

pred atMostOnce { always lone Ran }
pred trueNotRun { always no ToldNotRun & Ran }

AtMostOnce: check { no Mutant implies atMostOnce } for 3 but 3 Attempt, 1..10 steps
TrueNotRun: check { no Mutant implies trueNotRun } for 3 but 3 Attempt, 1..10 steps
CanRunAfterLateWrite: run { no Mutant and eventually (some Ran and Row.state = Done) }
  for 3 but 2 Attempt, 1..10 steps
MutantSendBeforeConfirmation: check { (some SendBeforeConfirmation and one Mutant) implies atMostOnce }
  for 3 but 2 Attempt, 1..10 steps
MutantSurvivorReleases: check { (some SurvivorReleases and one Mutant) implies atMostOnce }
  for 3 but 2 Attempt, 1..12 steps
MutantSendAfterGivingUp: check { (some SendAfterGivingUp and one Mutant) implies trueNotRun }
  for 3 but 2 Attempt, 1..10 steps
