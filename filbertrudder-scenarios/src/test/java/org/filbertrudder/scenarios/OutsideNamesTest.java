package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Tests that no name that leaves the process was renamed: fields and values of messages, settings,
 * stored data, logs and metrics. Each listed name must still be a text, a record component or an
 * enum constant of the compiled product, or a word of the deploy files.
 */
public class OutsideNamesTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final List<String> MODULES =
            List.of(
                    "filbertrudder-model",
                    "filbertrudder-policy",
                    "filbertrudder-store",
                    "filbertrudder-peer",
                    "filbertrudder-entry",
                    "filbertrudder-gateway",
                    "platform",
                    "filbertrudder-app",
                    "filbertrudder-standins");

    @Test
    public void everyListedNameIsStillInUse() throws Exception {
        Set<String> missing = new TreeSet<>(listed());
        assertTrue(!missing.isEmpty(), "the list is empty");
        missing.removeAll(deployWords());
        for (String module : MODULES) {
            Path classes = ROOT.resolve(module).resolve("target/classes");
            for (Path file : files(classes, ".class")) {
                missing.removeAll(texts(file));
                missing.removeAll(componentsAndConstants(classes.relativize(file)));
            }
        }

        assertEquals(missing, Set.of());
    }

    private static List<String> listed() throws IOException {
        try (InputStream stream = OutsideNamesTest.class.getResourceAsStream("outside-names.txt")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    private static Set<String> deployWords() throws IOException {
        Set<String> words = new HashSet<>();
        for (Path file : files(ROOT.resolve("deploy"), ".toml")) {
            words.addAll(List.of(Files.readString(file).split("[\\s=\\[\\]]+")));
        }
        return words;
    }

    private static List<Path> files(Path root, String suffix) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(suffix)).toList();
        }
    }

    private static List<String> componentsAndConstants(Path file) throws ClassNotFoundException {
        String path = file.toString().replace('/', '.');
        String name = path.substring(0, path.length() - ".class".length());
        List<String> names = new ArrayList<>();
        if (name.endsWith("package-info")) {
            return names;
        }
        Class<?> type = Class.forName(name, false, OutsideNamesTest.class.getClassLoader());
        if (type.isRecord()) {
            for (RecordComponent component : type.getRecordComponents()) {
                names.add(component.getName());
            }
        }
        if (type.isEnum()) {
            for (Field field : type.getDeclaredFields()) {
                if (field.isEnumConstant()) {
                    names.add(field.getName());
                }
            }
        }
        return names;
    }

    /** Returns the string constants of a class file, by section 4.4 of the class file format. */
    private static Set<String> texts(Path file) throws IOException {
        try (DataInputStream in = new DataInputStream(Files.newInputStream(file))) {
            in.readInt();
            in.readInt();
            int count = in.readUnsignedShort();
            String[] utf8 = new String[count];
            List<Integer> strings = new ArrayList<>();
            for (int i = 1; i < count; i++) {
                int tag = in.readUnsignedByte();
                switch (tag) {
                    case 1 -> utf8[i] = in.readUTF();
                    case 8 -> strings.add(in.readUnsignedShort());
                    case 3, 4, 9, 10, 11, 12, 17, 18 -> in.readInt();
                    case 5, 6 -> {
                        in.readLong();
                        i++;
                    }
                    case 7, 16, 19, 20 -> in.readUnsignedShort();
                    case 15 -> in.skipBytes(3);
                    default -> throw new IOException("Unknown constant " + tag + " in " + file);
                }
            }
            Set<String> texts = new HashSet<>();
            strings.forEach(index -> texts.add(utf8[index].strip()));
            return texts;
        }
    }
}
