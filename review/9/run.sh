#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
. "$root/review/common-2.sh"
run_case 9
