#!/bin/sh
# Runs the case of a folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run; an error of the case itself counts as the last.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 "$1/case.py"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
