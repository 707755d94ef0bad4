package org.limpetring.load.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots goodput, latency and serving groups over time, with a marker for each step. */
public final class Plot {

  private static final int WIDTH_PX = 1_000;
  private static final int HEIGHT_PX = 900;
  private static final double MS_PER_SECOND = 1_000;
  private static final float LINE_WIDTH = 1.6f;
  private static final List<Color> COLOURS =
      List.of(new Color(0x1f77b4), new Color(0xd62728), new Color(0x2ca02c));

  private Plot() {}

  /** Writes the plot of {@code report} as a PNG file. */
  public static void write(Report report, Path file) throws IOException {
    CombinedDomainXYPlot combined = new CombinedDomainXYPlot(new NumberAxis("seconds"));
    combined.add(throughputPlot(report), 2);
    combined.add(latencyPlot(report), 2);
    combined.add(groupPlot(report), 2);
    String title = report.experiment() + ", seed " + report.seed();
    JFreeChart chart = new JFreeChart(title, combined);
    chart.setBackgroundPaint(Color.WHITE);
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PX, HEIGHT_PX);
  }

  private static XYPlot throughputPlot(Report report) {
    XYSeries offered = new XYSeries("offered/s");
    XYSeries good = new XYSeries("good/s");
    for (Report.Bin bin : report.bins()) {
      offered.add(seconds(bin.atMs()), bin.offered());
      good.add(seconds(bin.atMs()), bin.good());
    }
    return newPlot(report, "requests/s", good, offered);
  }

  private static XYPlot latencyPlot(Report report) {
    XYSeries total = new XYSeries("total p95 of good responses");
    for (Report.Bin bin : report.bins()) {
      if (bin.totalP95Ms() > 0) {
        total.add(seconds(bin.atMs()), bin.totalP95Ms());
      }
    }
    return newPlot(report, "ms", total);
  }

  private static XYPlot groupPlot(Report report) {
    XYSeries whole = new XYSeries("whole groups");
    XYSeries warm = new XYSeries("warm groups");
    XYSeries stranded = new XYSeries("stranded hosts");
    for (Sample sample : report.samples()) {
      whole.add(seconds(sample.atMs()), sample.groups());
      warm.add(seconds(sample.atMs()), sample.warmGroups());
      stranded.add(seconds(sample.atMs()), sample.strandedHosts());
    }
    return newPlot(report, "groups, hosts", whole, warm, stranded);
  }

  private static XYPlot newPlot(Report report, String axis, XYSeries... series) {
    XYSeriesCollection data = new XYSeriesCollection();
    for (XYSeries line : series) {
      data.addSeries(line);
    }
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
    for (int index = 0; index < series.length; index++) {
      renderer.setSeriesPaint(index, COLOURS.get(index));
      renderer.setSeriesStroke(index, new BasicStroke(LINE_WIDTH));
    }
    XYPlot plot = new XYPlot(data, null, new NumberAxis(axis), renderer);
    plot.setBackgroundPaint(Color.WHITE);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    for (Report.Mark mark : report.marks()) {
      plot.addDomainMarker(marker(mark));
    }
    return plot;
  }

  private static ValueMarker marker(Report.Mark mark) {
    ValueMarker marker =
        new ValueMarker(seconds(mark.atMs()), Color.DARK_GRAY, new BasicStroke(1.0f));
    marker.setLabel(mark.label());
    marker.setLabelAnchor(RectangleAnchor.TOP_RIGHT);
    marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
    return marker;
  }

  private static double seconds(long timeMs) {
    return timeMs / MS_PER_SECOND;
  }
}
