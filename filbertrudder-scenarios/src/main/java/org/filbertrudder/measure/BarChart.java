package org.filbertrudder.measure;

import java.awt.geom.Rectangle2D;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.svg.SVGGraphics2D;

/** Draws one column of a table as a bar chart in SVG. */
final class BarChart {

    private static final int WIDTH_PX = 900;
    private static final int ROW_HEIGHT_PX = 24;
    private static final int FRAME_HEIGHT_PX = 120;

    private BarChart() {}

    /** Returns the names of the columns whose values are all numbers. */
    static List<String> numericColumns(Table table) {
        return table.columns().stream()
                .filter(column -> isNumeric(table, table.columns().indexOf(column)))
                .toList();
    }

    private static boolean isNumeric(Table table, int index) {
        return table.rows().stream()
                .allMatch(row -> row.get(index).matches("-?[0-9]+([.][0-9]+)?"));
    }

    /** Returns an SVG drawing of a column; up to three columns before it name the bars. */
    static String toSvg(String title, Table table, String column) {
        int index = table.columns().indexOf(column);
        DefaultCategoryDataset dataset = new DefaultCategoryDataset();
        int number = 0;
        for (List<String> row : table.rows()) {
            String name = ++number + ": " + String.join(" ", row.subList(0, Math.min(3, index)));
            dataset.addValue(Double.parseDouble(row.get(index)), column, name);
        }
        JFreeChart chart =
                ChartFactory.createBarChart(
                        title,
                        "",
                        column,
                        dataset,
                        PlotOrientation.HORIZONTAL,
                        false,
                        false,
                        false);
        int height = FRAME_HEIGHT_PX + ROW_HEIGHT_PX * table.rows().size();
        SVGGraphics2D graphics = new SVGGraphics2D(WIDTH_PX, height);
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH_PX, height));
        return graphics.getSVGDocument();
    }
}
