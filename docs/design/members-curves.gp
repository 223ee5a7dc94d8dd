# gnuplot docs/design/members-curves.gp, from the project's root: the curves of members.md from members-curves.dat.
set terminal svg size 900,360 font "sans,11" background "white"
set output "docs/design/members-curves.svg"
set multiplot layout 1,2
set logscale x 2
set xtics (3, 8, 16, 64, 300)
set xlabel "instances"
set key top left
set yrange [0:40]
set title "seconds, 0 % loss"
plot "docs/design/members-curves.dat" index 0 using 1:2 with linespoints title "whole after a start", \
  "" index 0 using 1:3 with linespoints title "both sides of a cut told", \
  "" index 0 using 1:4 with linespoints title "healed", \
  "" index 0 using 1:5 with linespoints title "a death known to all", \
  "" index 0 using 1:(3 * 0.2 * $1) with lines dashtype 2 title "a proof by direct answers alone"
set yrange [0:*]
set title "bytes a second, each"
plot "docs/design/members-curves.dat" index 0 using 1:6 with linespoints title "0 % loss", \
  "" index 1 using 1:6 with linespoints title "30 % loss"
