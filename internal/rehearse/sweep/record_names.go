package sweep

// recordedPrograms maps a program's name to the one used in recorded runs. Records keep the programs' former names so that runs
// from before the programs were renamed stay comparable. Message kinds are recorded by their metric labels, which have not changed.
var recordedPrograms = map[string]string{"proxy": "carrier", "registry": "sorter", "configstore": "postmaster"}
