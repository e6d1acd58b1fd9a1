#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review-8 review/8/record.txt
