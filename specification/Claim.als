/**
 * Model of the claim on one idempotency key.
 *
 * Each attempt may run on a different instance. The store may apply a write late or never, responses
 * may be lost, and an attempt may pause or stop between any two of its steps. A target may execute a
 * call long after it was sent, and checks no fencing number. ClaimTable implements the claims, and
 * ClaimSweeper the sweep.
 */
module Claim

abstract sig State {}
one sig Absent, Sending, Done, NotRun, Unsettled extends State {}

sig Attempt {
  -- Owner of the row that a write in flight expects; none if it expects an absent row.
  var expected: lone Attempt
}

one sig Row {
  var state: one State,
  var owner: lone Attempt
}

var sig InFlight in Attempt {}       -- the store may still apply the attempt's write of the claim
var sig Confirmed in Attempt {}      -- the attempt has read its own row
var sig GaveUp in Attempt {}         -- the attempt has decided never to send
var sig Sent in Attempt {}           -- the instance may have sent a part of the call
var sig Ran in Attempt {}            -- the target has executed the call
var sig Crashed in Attempt {}        -- the attempt's instance has ended
var sig ReportedNotRun in Attempt {} -- the caller has received the verdict not run

-- Mutations of the protocol that a check must detect. The protocol itself has none of them, and a
-- mutated protocol has exactly one.
abstract sig Mutant {}
lone sig SendBeforeConfirmation, SurvivorReleases, SendAfterGivingUp extends Mutant {}

pred unchangedRow { Row.state' = Row.state and Row.owner' = Row.owner }
pred unchangedAttempts {
  InFlight' = InFlight and Confirmed' = Confirmed and GaveUp' = GaveUp and Sent' = Sent
  Ran' = Ran and Crashed' = Crashed and ReportedNotRun' = ReportedNotRun and expected' = expected
}

pred init {
  Row.state = Absent and no Row.owner
  no InFlight + Confirmed + GaveUp + Sent + Ran + Crashed + ReportedNotRun
  no expected
}

pred alive[a: Attempt] { a not in Crashed }

-- The attempt writes its claim if the row is absent or another attempt's claim has not run.
pred write[a: Attempt] {
  alive[a] and a not in GaveUp + Confirmed + InFlight + Sent
  Row.state = Absent or (Row.state = NotRun and Row.owner != a)
  InFlight' = InFlight + a
  expected' = (expected - a->Attempt) + (Row.state = NotRun implies a->Row.owner else none->none)
  Confirmed' = Confirmed and GaveUp' = GaveUp and Sent' = Sent
  Ran' = Ran and Crashed' = Crashed and ReportedNotRun' = ReportedNotRun
  unchangedRow
}

-- The store applies the write or rejects it for its revision; the response may be lost either way.
pred applyWrite[a: Attempt] {
  a in InFlight
  InFlight' = InFlight - a
  expected' = expected - a->Attempt
  ((no a.expected and Row.state = Absent)
      or (some a.expected and Row.state = NotRun and Row.owner = a.expected))
    implies (Row.state' = Sending and Row.owner' = a)
    else unchangedRow
  Confirmed' = Confirmed and GaveUp' = GaveUp and Sent' = Sent
  Ran' = Ran and Crashed' = Crashed and ReportedNotRun' = ReportedNotRun
}

-- The response to the write, or a read that returns its attempt id, confirms the claim.
pred confirm[a: Attempt] {
  alive[a] and a not in GaveUp + Confirmed
  Row.state = Sending and Row.owner = a
  Confirmed' = Confirmed + a
  InFlight' = InFlight and GaveUp' = GaveUp and Sent' = Sent and expected' = expected
  Ran' = Ran and Crashed' = Crashed and ReportedNotRun' = ReportedNotRun
  unchangedRow
}

pred send[a: Attempt] {
  alive[a] and a not in Sent
  a in Confirmed or (some SendBeforeConfirmation and a in InFlight)
  a not in GaveUp or some SendAfterGivingUp
  Sent' = Sent + a
  InFlight' = InFlight and Confirmed' = Confirmed and GaveUp' = GaveUp and expected' = expected
  Ran' = Ran and Crashed' = Crashed and ReportedNotRun' = ReportedNotRun
  unchangedRow
}

pred run_[a: Attempt] {
  a in Sent and a not in Ran
  Ran' = Ran + a
  InFlight' = InFlight and Confirmed' = Confirmed and GaveUp' = GaveUp and expected' = expected
  Sent' = Sent and Crashed' = Crashed and ReportedNotRun' = ReportedNotRun
  unchangedRow
}

-- The deadline passes before the attempt sends the call; the caller receives the verdict not run.
pred giveUp[a: Attempt] {
  alive[a] and a not in GaveUp + Sent
  GaveUp' = GaveUp + a and ReportedNotRun' = ReportedNotRun + a
  InFlight' = InFlight and Confirmed' = Confirmed and Sent' = Sent and expected' = expected
  Ran' = Ran and Crashed' = Crashed
  unchangedRow
}

-- The claim table settles the claim with the outcome not run.
pred settleNotRun[a: Attempt] {
  alive[a] and a in GaveUp
  (Row.owner = a and Row.state in Sending + Unsettled) or Row.state = Absent
  Row.state' = NotRun and Row.owner' = a
  unchangedAttempts
}

-- The claim table settles the claim with the response of the call.
pred settleDone[a: Attempt] {
  alive[a] and a in Ran
  Row.owner = a and Row.state in Sending + Unsettled
  Row.state' = Done and Row.owner' = a
  unchangedAttempts
}

-- The claim sweeper of another instance considers the owner ended, rightly or not.
pred sweep {
  Row.state = Sending
  Row.state' = (some SurvivorReleases implies NotRun else Unsettled)
  Row.owner' = Row.owner
  unchangedAttempts
}

pred crash[a: Attempt] {
  alive[a]
  Crashed' = Crashed + a
  InFlight' = InFlight and Confirmed' = Confirmed and GaveUp' = GaveUp and expected' = expected
  Sent' = Sent and Ran' = Ran and ReportedNotRun' = ReportedNotRun
  unchangedRow
}

pred stutter { unchangedRow and unchangedAttempts }

fact behaviour {
  init
  always (stutter or sweep or some a: Attempt |
    write[a] or applyWrite[a] or confirm[a] or send[a] or run_[a] or giveUp[a]
      or settleNotRun[a] or settleDone[a] or crash[a])
}

pred atMostOnce { always lone Ran }
pred trueNotRun { always no ReportedNotRun & Ran }

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
