# gnuplot docs/capacity/curves.gp, from the project's root; written by lynxgrade-testbed capacity.
set terminal svg size 1000,900 font "sans,11" background "white" noenhanced
set output "docs/capacity/curves.svg"
set logscale xy
set xlabel "poolers; databases, clients and statements grow in step"
set ylabel "parts of the budget, worst ordinary second"
set key outside bottom center
set grid
set xrange [5:3280]
set yrange [0.001:1000]
set arrow from 410,0.001 to 410,1000 nohead dashtype 3
plot 1 with lines linewidth 2 linecolor "black" title "the budget; dotted: the target", \
  "docs/capacity/curves.dat" index 0 using 1:3 with lines linecolor "#1f77b4" linewidth 1 title "sessions that wrote within recall, entries at most", \
  "docs/capacity/curves.dat" index 1 using 1:3 with lines linecolor "#ff7f0e" linewidth 3 title "membership alone, both ways (marks: directory, owners set aside), bytes a second", \
  "docs/capacity/curves.dat" index 2 using 1:3 with lines linecolor "#2ca02c" linewidth 3 title "control, all kinds, both ways (marks: directory, owners set aside), bytes a second", \
  "docs/capacity/curves.dat" index 3 using 1:3 with lines linecolor "#d62728" linewidth 3 title "control, no read's ask admitted (marks: directory, owners set aside), bytes a second", \
  "docs/capacity/curves.dat" index 4 using 1:3 with lines linecolor "#9467bd" linewidth 3 title "control (marks: directory, owners set aside), % of a core", \
  "docs/capacity/curves.dat" index 5 using 1:3 with lines linecolor "#8c564b" linewidth 3 title "of it the exchange, by its own account (marks: directory, owners set aside), % of a core", \
  "docs/capacity/curves.dat" index 6 using 1:3 with lines linecolor "#e377c2" linewidth 3 title "control, as one instance more adds to a process (marks: directory, owners set aside), MB", \
  "docs/capacity/curves.dat" index 7 using 1:3 with lines linecolor "#7f7f7f" linewidth 3 title "membership alone, both ways (marks: directory, former records), bytes a second", \
  "docs/capacity/curves.dat" index 8 using 1:3 with lines linecolor "#bcbd22" linewidth 3 title "control, all kinds, both ways (marks: directory, former records), bytes a second", \
  "docs/capacity/curves.dat" index 9 using 1:3 with lines linecolor "#17becf" linewidth 3 title "control, no read's ask admitted (marks: directory, former records), bytes a second", \
  "docs/capacity/curves.dat" index 10 using 1:3 with lines linecolor "#aec7e8" linewidth 3 title "sessions held by one pooler (marks: directory, former records), entries", \
  "docs/capacity/curves.dat" index 11 using 1:3 with lines linecolor "#ffbb78" linewidth 3 title "asks of reads at first meets and moves (marks: directory, former records), a second", \
  "docs/capacity/curves.dat" index 12 using 1:3 with lines linecolor "#98df8a" linewidth 3 title "control (marks: directory, former records), % of a core", \
  "docs/capacity/curves.dat" index 13 using 1:3 with lines linecolor "#ff9896" linewidth 3 title "a whole process without clients (marks: directory, former records), MB", \
  "docs/capacity/curves.dat" index 14 using 1:3 with lines linecolor "#c5b0d5" linewidth 3 title "control, as one instance more adds to a process (marks: directory, former records), MB", \
  "docs/capacity/curves.dat" index 15 using 1:3 with lines linecolor "#c49c94" linewidth 1 title "membership alone, both ways (marks: each), bytes a second", \
  "docs/capacity/curves.dat" index 16 using 1:3 with lines linecolor "#1f77b4" linewidth 1 title "control, all kinds, both ways (marks: each), bytes a second", \
  "docs/capacity/curves.dat" index 17 using 1:3 with lines linecolor "#ff7f0e" linewidth 1 title "control (marks: each), % of a core", \
  "docs/capacity/curves.dat" index 18 using 1:3 with lines linecolor "#2ca02c" linewidth 1 title "a whole process without clients (marks: each), MB", \
  "docs/capacity/curves.dat" index 19 using 1:3 with lines linecolor "#d62728" linewidth 1 title "control, as one instance more adds to a process (marks: each), MB", \
  "docs/capacity/curves.dat" index 20 using 1:3 with lines linecolor "#9467bd" linewidth 1 title "two pauses between packets to one pooler, ms", \
  "docs/capacity/curves.dat" index 21 using 1:3 with lines linecolor "#8c564b" linewidth 1 title "round in which all reigns of primaries are told to one pooler again, s", \
  "docs/capacity/curves.dat" index 22 using 1:3 with lines linecolor "#e377c2" linewidth 1 title "wait of a read that asks poolers of the other region, ms", \
  "docs/capacity/curves.dat" index 23 using 1:3 with lines linecolor "#7f7f7f" linewidth 1 title "answer to a ping across regions, ms", \
  "docs/capacity/curves.dat" index 24 using 1:3 with lines linecolor "#bcbd22" linewidth 1 title "needed so that clients idle for up to 15 s stay", \
  "docs/capacity/curves.dat" index 25 using 1:3 with lines linecolor "#17becf" linewidth 1 title "sessions owned by one machine, entries", \
  "docs/capacity/curves.dat" index 26 using 1:3 with lines linecolor "#aec7e8" linewidth 1 title "connections of poolers to one database", \
  "docs/capacity/curves.dat" index 27 using 1:3 with lines linecolor "#ffbb78" linewidth 1 title "answer of lynxgrade peers, bytes"
