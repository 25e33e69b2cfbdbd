package org.filbertrudder.measure;

import java.awt.geom.Rectangle2D;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.svg.SVGGraphics2D;

/** Draws one column of a table as bars, in SVG. */
final class Plot {

    private static final int WIDTH = 900;
    private static final int HEIGHT_PER_ROW = 24;
    private static final int HEIGHT_OF_FRAME = 120;

    private Plot() {}

    /** Returns the columns whose values are all numbers. */
    static List<String> plottable(Table table) {
        return table.columns().stream()
                .filter(column -> isNumeric(table, table.columns().indexOf(column)))
                .toList();
    }

    private static boolean isNumeric(Table table, int index) {
        return table.rows().stream()
                .allMatch(row -> row.get(index).matches("-?[0-9]+([.][0-9]+)?"));
    }

    /** Returns a drawing of the column; the other columns up to the first figure name the bars. */
    static String draw(String title, Table table, String column) {
        int index = table.columns().indexOf(column);
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        int number = 0;
        for (List<String> row : table.rows()) {
            String name = ++number + ": " + String.join(" ", row.subList(0, Math.min(3, index)));
            data.addValue(Double.parseDouble(row.get(index)), column, name);
        }
        JFreeChart chart =
                ChartFactory.createBarChart(
                        title, "", column, data, PlotOrientation.HORIZONTAL, false, false, false);
        int height = HEIGHT_OF_FRAME + HEIGHT_PER_ROW * table.rows().size();
        SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, height);
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, height));
        return graphics.getSVGDocument();
    }
}
