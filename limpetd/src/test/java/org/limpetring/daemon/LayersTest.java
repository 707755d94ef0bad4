package org.limpetring.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each library depends only on libraries of lower layers. */
final class LayersTest {

  private static final List<String> LAYERS =
      List.of("base", "tables", "store", "peer", "fleet", "groups", "routing", "engine", "daemon");

  @Test
  void noLibraryDependsOnAHigherLayer() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.limpetring");
    for (int lower = 0; lower < LAYERS.size(); lower++) {
      for (int higher = lower + 1; higher < LAYERS.size(); higher++) {
        noClasses()
            .that()
            .resideInAPackage("org.limpetring." + LAYERS.get(lower) + "..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.limpetring." + LAYERS.get(higher) + "..")
            .check(classes);
      }
    }
  }
}
