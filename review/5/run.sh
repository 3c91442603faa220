#!/bin/sh
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no process is killed.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case5 ] && [ -x ../../target/jacinthspool ] || exit 2
exec ../bin/case5 "$PWD" "$PWD/../../target/jacinthspool"
