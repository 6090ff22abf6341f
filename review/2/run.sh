#!/bin/sh
cd "$(dirname "$0")/../.."
exec node review/2/play.mjs
