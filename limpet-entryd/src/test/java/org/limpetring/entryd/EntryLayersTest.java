package org.limpetring.entryd;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Dependency rules between the core, its request decisions and the platform adapter. */
final class EntryLayersTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.limpetring.entry", "org.limpetring.platform");

  @Test
  void coreDoesNotDependOnPlatform() {
    noClasses()
        .that()
        .resideInAPackage("org.limpetring.entry..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.limpetring.platform..")
        .check(CLASSES);
  }

  @Test
  void modelAndRequestDecisionsDoNotDependOnNetwork() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "org.limpetring.entry.model..",
            "org.limpetring.entry.balancing..",
            "org.limpetring.entry.poison..",
            "org.limpetring.entry.route..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty..", "org.limpetring.entry.net..")
        .check(CLASSES);
  }

  @Test
  void platformDoesNotDependOnDecisions() {
    noClasses()
        .that()
        .resideInAPackage("org.limpetring.platform..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.limpetring.entry.group..",
            "org.limpetring.entry.balancing..",
            "org.limpetring.entry.route..")
        .check(CLASSES);
  }
}
