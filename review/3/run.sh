#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption.
here=$(cd "$(dirname "$0")" && pwd)
stand_in=trial_3
operator_file='[streams]
enabled = true
[streams.websocket]
enabled = true'
source "$here/../support/run_case.sh"
