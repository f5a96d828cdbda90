#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no kill.
cd "$(dirname "$0")" && exec node run.mjs
